/** Calls to the control members: in turn, until one answers. */
import type {ControlStatus} from '../control/methods.js';
import type {RpcClient} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';

const STATUS_TIMEOUT_MS = 1_000;
const QUERY_TIMEOUT_MS = 3_000;
/** More than a member allows the leader for a forwarded change. */
const CHANGE_TIMEOUT_MS = 10_000;
/** How often all members are tried; an election takes one to two seconds. */
const ROUNDS = 4;
const ROUND_PAUSE_MS = 700;

// The call failed before anything was sent.
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

// Another member, or the same one after an election, may answer.
const RETRIED_CODES: ReadonlySet<string> = new Set([
  'timeout',
  'unreachable',
  'internal',
  'outcome_unknown',
  'not_leader',
  'no_quorum',
  'not_ready',
  'overloaded',
  'stopping',
]);

/** Calls the control members for one operator. */
export class ControlClient {
  constructor(
    private readonly rpc: RpcClient,
    readonly addresses: readonly string[],
  ) {}

  /** Reads from the first member that answers. */
  query<Result>(method: string, params: object = {}): Promise<Result> {
    return this.callInTurn(method, params, QUERY_TIMEOUT_MS, false);
  }

  /**
   * Makes a change. `params` carries an operation id, so that it is safe to
   * send it again to the next member after a lost answer. Rejects with
   * `outcome_unknown` if the change may have been made.
   */
  change<Result>(method: string, params: object): Promise<Result> {
    return this.callInTurn(method, params, CHANGE_TIMEOUT_MS, true);
  }

  private async byReadiness(): Promise<readonly string[]> {
    const asked = this.addresses.map(async address => {
      const status = await this.rpc.call<ControlStatus>(
        address,
        'control.status',
        {},
        STATUS_TIMEOUT_MS,
      );
      return {
        address,
        order: readiness(status.isOk() ? status.value : undefined),
      };
    });
    const members = await Promise.all(asked);
    return members
      .sort((left, right) => left.order - right.order)
      .map(({address}) => address);
  }

  private async callInTurn<Result>(
    method: string,
    params: object,
    timeoutMs: number,
    isChange: boolean,
  ): Promise<Result> {
    const addresses = await this.byReadiness();
    const turns = Array.from({length: ROUNDS}, () => addresses).flat();
    let mayHaveRun = false;
    let last: GatewayError | undefined;
    for (const [turn, address] of turns.entries()) {
      if (turn > 0 && turn % this.addresses.length === 0) {
        await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MS));
      }
      const result = await this.rpc.call<Result>(
        address,
        method,
        params,
        timeoutMs,
      );
      if (result.isOk()) return result.value;
      last = result.error;
      mayHaveRun ||= mayRun(last);
      if (!RETRIED_CODES.has(last.code)) break;
    }
    throw isChange && mayHaveRun ? unknownOutcome(method, last) : last;
  }
}

// An internal error of a member says nothing about the change.
const MAY_RUN_CODES: ReadonlySet<string> = new Set([
  'timeout',
  'internal',
  'outcome_unknown',
]);

function mayRun(error: GatewayError): boolean {
  if (MAY_RUN_CODES.has(error.code)) return true;
  if (error.code !== 'unreachable') return false;
  const {cause} = error;
  const code = cause instanceof Error && 'code' in cause ? cause.code : '';
  return !NOT_SENT_CODES.has(String(code));
}

// A silent member would cost a whole timeout, so all are asked for their role
// first: the leader comes first, members that do not answer come last.
function readiness(status: ControlStatus | undefined): number {
  if (status === undefined) return 2;
  return status.role === 'leader' ? 0 : 1;
}

function unknownOutcome(
  method: string,
  cause: GatewayError | undefined,
): GatewayError {
  return new GatewayError({
    code: 'outcome_unknown',
    message: `no control member told the outcome: ${cause?.message ?? ''}`,
    step: method,
    peer: cause?.peer ?? 'control',
    work: 'unknown',
    cause,
  });
}
