/** Messages between members over RPC; all peer requests share one method. */
import {z} from 'zod';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import {asId, type InstanceId, type MemberId} from '../types/ids.js';
import {
  envelopeSchema,
  replySchema,
  type PeerReply,
  type PeerRequest,
} from './core/messages.js';

const INCARNATION_SEPARATOR = '#';

/** The instance part of a member identity `<instance>#<incarnation>`. */
export function instanceOf(memberId: MemberId): InstanceId {
  const end = memberId.lastIndexOf(INCARNATION_SEPARATOR);
  return asId<InstanceId>(end < 0 ? memberId : memberId.slice(0, end));
}

/** The identity of one incarnation of an instance. */
export function memberIdOf(instance: string, incarnation: string): MemberId {
  return asId<MemberId>(instance + INCARNATION_SEPARATOR + incarnation);
}

export interface PeerTransportOptions {
  readonly memberId: MemberId;
  readonly methodPrefix: string;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly requestTimeoutMs: number;
  /** Timeout of snapshots and reads, which may take longer. */
  readonly electionMinMs: number;
}

/** Handles requests of other members. */
export type PeerHandler = (
  from: MemberId,
  request: PeerRequest,
) => Promise<PeerReply>;

export class PeerTransport {
  private readonly method: string;

  constructor(private readonly options: PeerTransportOptions) {
    this.method = `${options.methodPrefix}.message`;
  }

  /** Registers the handler of requests to this identity. */
  listen(handler: PeerHandler): void {
    const {router, memberId} = this.options;
    router.register(this.method, envelopeSchema, (envelope, context) => {
      // The sender may have meant an earlier or later identity at this address.
      // An old identity must not vote, so messages to it are rejected.
      if (envelope.to !== memberId) {
        throw receiveError(
          'not_found',
          `${envelope.to} does not run on this instance`,
        );
      }
      if (instanceOf(envelope.from) !== context.sender) {
        throw receiveError(
          'forbidden',
          `${context.sender} may not send as ${envelope.from}`,
        );
      }
      return handler(envelope.from, envelope.request);
    });
  }

  /** Sends a request; resolves with `undefined` without a valid reply. */
  async request(
    to: MemberId,
    address: string,
    request: PeerRequest,
  ): Promise<PeerReply | undefined> {
    const {client, memberId, requestTimeoutMs, electionMinMs} = this.options;
    const timeoutMs =
      request.kind === 'snapshot' ? electionMinMs : requestTimeoutMs;
    const envelope = {from: memberId, to, request};
    const result = await client.call<unknown>(
      address,
      this.method,
      envelope,
      timeoutMs,
    );
    if (result.isErr()) return undefined;
    const reply = replySchema.safeParse(result.value);
    return reply.success ? reply.data : undefined;
  }

  /** Gets the index that a linearizable read must wait for from the leader. */
  async readIndex(address: string): Promise<number> {
    const {client, methodPrefix, electionMinMs} = this.options;
    const method = `${methodPrefix}.read_index`;
    const result = await client.call<unknown>(
      address,
      method,
      {},
      electionMinMs,
    );
    if (result.isErr()) throw result.error;
    return z.number().parse(result.value);
  }

  /** Registers the handler of `readIndex` calls from other members. */
  registerReadIndexMethod(handler: () => Promise<number>): void {
    const {router, methodPrefix} = this.options;
    router.register(`${methodPrefix}.read_index`, z.object({}), handler);
  }
}

function receiveError(
  code: 'not_found' | 'forbidden',
  message: string,
): GatewayError {
  return new GatewayError({
    code,
    message,
    step: 'replication.receive',
    peer: 'self',
  });
}
