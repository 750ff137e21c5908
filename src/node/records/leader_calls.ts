/** Runs RPC methods on the leader of the record group. */
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {RpcClient} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {RecordCommand, RecordResult} from './record.js';

/** Network time allowed for a forwarded call, in addition to its timeout. */
const FORWARD_MARGIN_MS = 500;

/** Parameters that all forwarded methods have. */
export interface ForwardableParams {
  /** Whether another member forwarded the call; it is not forwarded again. */
  readonly forwarded?: boolean | undefined;
  readonly timeoutMs: number;
}

/** Proposes commands and forwards calls to the leader of the group. */
export class LeaderCalls {
  constructor(
    private readonly log: ReplicatedLog<RecordCommand, RecordResult>,
    private readonly rpc: RpcClient,
  ) {}

  /** Whether this member considers itself the leader. */
  isLeader(): boolean {
    return this.log.status().role === 'leader';
  }

  /** Proposes a command; throws the error that the log returns. */
  async propose(command: RecordCommand): Promise<RecordResult> {
    const result = await this.log.propose(command);
    if (result.isErr()) throw result.error;
    return result.value;
  }

  /** Runs `handle` on the leader; other members forward the call to it. */
  async run<Params extends ForwardableParams, Result>(
    method: string,
    params: Params,
    handle: () => Promise<Result>,
  ): Promise<Result> {
    const status = this.log.status();
    if (status.role === 'leader') return handle();
    const leader = status.members.find(
      member => member.memberId === status.leader,
    );
    if (params.forwarded === true || leader === undefined) {
      throw new GatewayError({
        code: leader === undefined ? 'no_quorum' : 'not_leader',
        message: 'this member of the record group does not lead',
        step: method,
        peer: status.memberId,
        ...(status.leader === undefined ? {} : {leader: status.leader}),
      });
    }
    const answer = await this.rpc.call<Result>(
      leader.address,
      method,
      {...params, forwarded: true},
      params.timeoutMs + FORWARD_MARGIN_MS,
    );
    if (answer.isErr()) throw answer.error;
    return answer.value;
  }
}
