/** Proposals on any member: a follower forwards them once, to its leader. */
import type {ResultAsync} from 'neverthrow';
import {errAsync} from 'neverthrow';
import type {z} from 'zod';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {ReplicatedLog} from './replicated_log.js';

export interface ForwardingOptions<Command, Result> {
  readonly log: ReplicatedLog<Command, Result>;
  readonly methodPrefix: string;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly commandSchema: z.ZodType<Command>;
  /** Proposes on this member. @default `log.propose` */
  readonly propose?: (command: Command) => ResultAsync<Result, GatewayError>;
  /** @default 5000 */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 5000;

/**
 * Registers the method for forwarded proposals and returns a function that
 * proposes on this member or, if another member is the leader, on that one.
 * Errors of a call that may have reached the leader carry the work state
 * `unknown`.
 */
export function createForwarder<Command, Result>(
  options: ForwardingOptions<Command, Result>,
): (command: Command) => ResultAsync<Result, GatewayError> {
  const {log, client, router, methodPrefix, commandSchema} = options;
  const {timeoutMs = DEFAULT_TIMEOUT_MS} = options;
  const propose = options.propose ?? (command => log.propose(command));
  const method = `${methodPrefix}.propose`;
  // The receiver does not forward a proposal again, so it cannot loop.
  router.register(method, commandSchema, async command => {
    const result = await propose(command);
    if (result.isErr()) throw result.error;
    return result.value;
  });
  return command =>
    propose(command).orElse(error => {
      const address = log
        .status()
        .members.find(member => member.memberId === error.leader)?.address;
      if (error.code !== 'not_leader' || address === undefined) {
        return errAsync(error);
      }
      return client
        .call<Result>(address, method, command, timeoutMs)
        .mapErr(withUnknownOutcome);
    });
}

function withUnknownOutcome(error: GatewayError): GatewayError {
  const isOutcomeUnknown = ['timeout', 'unreachable', 'internal'].includes(
    error.code,
  );
  if (!isOutcomeUnknown) return error;
  const {code, message, step, peer} = error;
  return new GatewayError({
    code,
    message,
    step,
    peer,
    work: 'unknown',
    cause: error,
  });
}
