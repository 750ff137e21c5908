/** Routes calls to the leader of the configuration log. */
import type {Result as CallOutcome} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {RpcClient} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {ControlCommand, ControlResult} from './commands.js';
import {FORWARD_TIMEOUT_MS, LEADER_CHECK_INTERVAL_MS} from './constants.js';

type CallResult<Value> = CallOutcome<Value, GatewayError>;

/** Parameters of a call that any member accepts and forwards to the leader. */
export interface ForwardableParams {
  readonly forwarded: boolean;
}

/**
 * Runs calls on the leader. A call that was already forwarded, or that finds no
 * leader, is rejected; the error has the leader's address if it is available.
 */
export class LeaderCalls {
  constructor(
    private readonly log: ReplicatedLog<ControlCommand, ControlResult>,
    private readonly rpc: RpcClient,
    private readonly selfAddress: string,
  ) {}

  /** Whether this member knows the leader and its address. */
  hasLeader(): boolean {
    return this.leaderAddress() !== undefined;
  }

  /**
   * Runs `local` if this member is the leader; otherwise forwards `params` to
   * the leader. A forwarded call is never forwarded again. If another member
   * becomes leader while this one waits for an unresponsive leader, the call is
   * retried on the new leader. That is safe because calls that change state
   * carry an operation id and are idempotent.
   */
  async run<Params extends ForwardableParams, Result>(
    method: string,
    params: Params,
    local: () => Promise<Result>,
  ): Promise<Result> {
    const deadlineMs = monotonicNowMs() + FORWARD_TIMEOUT_MS;
    for (;;) {
      if (this.log.status().role === 'leader') {
        try {
          return await local();
        } catch (thrown) {
          // Leadership was lost before the command was appended.
          if (!isNotLeader(thrown)) throw thrown;
        }
      }
      const address = this.leaderAddress();
      const isRemote = address !== undefined && address !== this.selfAddress;
      if (params.forwarded || !isRemote) {
        throw this.notLeaderError(method, isRemote ? address : undefined);
      }
      const response = await this.forward<Result>(
        address,
        method,
        params,
        Math.floor(deadlineMs - monotonicNowMs()),
      );
      if (response === undefined) continue;
      if (response.isOk()) return response.value;
      throw withUnknownOutcome(response.error, method, address);
    }
  }

  /** The leader's response; `undefined` if the leader changed first. */
  private async forward<Result>(
    address: string,
    method: string,
    params: ForwardableParams,
    timeoutMs: number,
  ): Promise<CallResult<Result> | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const leaderChanged = new Promise<undefined>(resolve => {
      timer = setInterval(() => {
        const current = this.leaderAddress();
        if (current !== undefined && current !== address) resolve(undefined);
      }, LEADER_CHECK_INTERVAL_MS);
    });
    const response = this.rpc.call<Result>(
      address,
      method,
      {...params, forwarded: true},
      timeoutMs,
    );
    try {
      return await Promise.race([response, leaderChanged]);
    } finally {
      clearInterval(timer);
    }
  }

  private notLeaderError(
    method: string,
    leader: string | undefined,
  ): GatewayError {
    return new GatewayError({
      code: 'not_leader',
      message:
        leader === undefined
          ? 'no leader is known: the control members have no quorum, or are electing'
          : `the leader is at ${leader}`,
      step: method,
      peer: this.selfAddress,
      leader,
    });
  }

  private leaderAddress(): string | undefined {
    const {leader, members} = this.log.status();
    return members.find(({memberId}) => memberId === leader)?.address;
  }
}

function isNotLeader(thrown: unknown): boolean {
  return thrown instanceof GatewayError && thrown.code === 'not_leader';
}

// After these errors the change may or may not have been applied. An internal
// error of the leader leaves this open as well.
const UNKNOWN_OUTCOME_CODES: ReadonlySet<string> = new Set([
  'timeout',
  'unreachable',
  'internal',
]);

/**
 * Turns an error that leaves open whether a change was applied into
 * `outcome_unknown`; returns other errors unchanged.
 */
export function withUnknownOutcome(
  error: GatewayError,
  step: string,
  peer: string,
): GatewayError {
  if (!UNKNOWN_OUTCOME_CODES.has(error.code)) return error;
  return new GatewayError({
    code: 'outcome_unknown',
    message: `no answer from ${peer}: ${error.message}; send the change again with the same operation id`,
    step,
    peer,
    work: 'unknown',
    cause: error,
  });
}
