/**
 * Is loaded before the program of an entry. Connections to loopback come from the
 * entry's own address, so that a proxy can tell the entries apart.
 */
import {Socket} from 'node:net';
import {OWN_ADDRESS_VARIABLE} from './own_address_variable.js';

const LOOPBACK_PREFIX = '127.';
const ownAddress = process.env[OWN_ADDRESS_VARIABLE];

interface Target {
  readonly host?: unknown;
  localAddress?: string | undefined;
}

const connect = Socket.prototype.connect as (
  this: Socket,
  ...args: unknown[]
) => Socket;

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  const target = targetOf(args[0]);
  if (String(target?.host).startsWith(LOOPBACK_PREFIX) && target) {
    target.localAddress ??= ownAddress;
  }
  return connect.apply(this, args);
} as Socket['connect'];

/** The options of a connection; the runtime's own calls pass them in an array. */
function targetOf(argument: unknown): Target | undefined {
  const first: unknown = Array.isArray(argument) ? argument[0] : argument;
  return typeof first === 'object' && first !== null ? first : undefined;
}
