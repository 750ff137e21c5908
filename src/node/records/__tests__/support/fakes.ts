/** An in-memory network, record group and service with fault injection. */
import {errAsync, ResultAsync} from 'neverthrow';
import {
  ServiceUpstream,
  type DispatchOutcome,
  type ServiceRequest,
  type ServiceTarget,
} from '../../../adapters/upstream/plain_service.js';
import type {CallEvent} from '../../../__tests__/support/history.js';
import {
  ReplicatedLog,
  type ReplicaStatus,
} from '../../../replication/replicated_log.js';
import {RpcClient, type RpcRouter} from '../../../rpc/rpc.js';
import {GatewayError, type ErrorCode} from '../../../types/errors.js';
import {
  asId,
  asNumber,
  type Digest,
  type InstanceId,
  type MemberId,
} from '../../../types/ids.js';
import {sha256} from './utils.js';
import type {RecordCommand, RecordResult} from '../../record.js';
import type {RecordStateMachine} from '../../record_state_machine.js';

/** Called before each message and commit, which waits for the promise. */
export type Step = (label: string) => Promise<void>;

function fakeError(code: ErrorCode, peer: string): GatewayError {
  return new GatewayError({code, message: code, step: 'fake', peer});
}

/** Delivers RPCs by process name; simulates crashes, partitions and loss. */
export class FakeNetwork {
  readonly routers = new Map<string, RpcRouter>();
  readonly down = new Set<string>();
  /** Processes on the other side of a partition. */
  readonly cutOff = new Set<string>();
  /** Replies to these methods are dropped. */
  readonly lostReplies = new Set<string>();

  constructor(readonly step: Step) {}

  connected(from: string, to: string): boolean {
    return (
      !this.down.has(from) &&
      !this.down.has(to) &&
      this.cutOff.has(from) === this.cutOff.has(to)
    );
  }

  async deliver(
    from: string,
    to: string,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    await this.step(`${method} ${from}>${to}`);
    const router = this.routers.get(to);
    if (router === undefined || !this.connected(from, to)) {
      throw fakeError('unreachable', to);
    }
    const sender = asId<InstanceId>(from);
    const reply = await router
      .dispatch(method, JSON.parse(JSON.stringify(params)), {sender})
      .then(
        value => ({value}),
        (error: unknown) => ({error}),
      );
    await this.step(`reply ${method} ${to}>${from}`);
    if (this.lostReplies.has(method) || !this.connected(from, to)) {
      return new Promise(() => undefined);
    }
    if ('error' in reply) throw reply.error;
    return JSON.parse(JSON.stringify(reply.value));
  }
}

/** The RPC client of one process on a {@link FakeNetwork}. */
export class FakeRpcClient extends RpcClient {
  constructor(
    private readonly network: FakeNetwork,
    private readonly from: string,
  ) {
    super();
  }

  override async close(): Promise<void> {}

  protected override send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(fakeError('timeout', address)),
        timeoutMs,
      );
      this.network
        .deliver(this.from, address, method, params)
        .then(resolve, reject)
        .finally(() => clearTimeout(timer));
    });
  }
}

/** The committed commands of a group, and its leader. */
export class FakeGroup {
  readonly members: FakeLog[] = [];
  commands: RecordCommand[] = [];
  leader: FakeLog | undefined;

  constructor(readonly network: FakeNetwork) {}

  hasQuorum(candidate: FakeLog): boolean {
    const reachable = this.members.filter(member =>
      this.network.connected(candidate.name, member.name),
    );
    return reachable.length * 2 > this.members.length;
  }

  /** Elects the first member that can reach a quorum. */
  elect(): void {
    this.leader = this.members.find(member => this.hasQuorum(member));
    this.leader?.catchUp();
  }

  /** Commits a command and applies it on all reachable members. */
  commit(proposer: FakeLog, command: RecordCommand): RecordResult {
    this.commands.push(JSON.parse(JSON.stringify(command)) as RecordCommand);
    this.members
      .filter(
        member =>
          member !== proposer &&
          this.network.connected(proposer.name, member.name),
      )
      .forEach(member => member.catchUp());
    return proposer.catchUp() as RecordResult;
  }
}

/** The replicated log of one member. */
export class FakeLog extends ReplicatedLog<RecordCommand, RecordResult> {
  private applied = 0;

  constructor(
    readonly name: string,
    private readonly group: FakeGroup,
    private machine: RecordStateMachine,
  ) {
    super();
    group.members.push(this);
  }

  /** Applies the remaining committed commands; returns the last result. */
  catchUp(): RecordResult | undefined {
    const results = this.group.commands
      .slice(this.applied)
      .map(command => this.machine.apply(command));
    this.applied = this.group.commands.length;
    return results.at(-1);
  }

  override propose(
    command: RecordCommand,
  ): ResultAsync<RecordResult, GatewayError> {
    if (this.group.leader !== this) {
      return errAsync(fakeError('not_leader', this.name));
    }
    if (!this.group.hasQuorum(this)) {
      return errAsync(fakeError('no_quorum', this.name));
    }
    return ResultAsync.fromPromise(
      this.commitLater(command),
      error => error as GatewayError,
    );
  }

  private async commitLater(command: RecordCommand): Promise<RecordResult> {
    await this.group.network.step(`commit ${command.kind}`);
    const {leader, members} = this.group;
    // A restart of the whole group discards uncommitted commands.
    if (!members.includes(this)) throw fakeError('timeout', this.name);
    if (leader === this && this.group.hasQuorum(this)) {
      return this.group.commit(this, command);
    }
    // A new leader commits the command; the proposer only sees a timeout.
    if (leader !== undefined) this.group.commit(leader, command);
    throw fakeError('timeout', this.name);
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    return errAsync(fakeError('no_quorum', this.name));
  }

  override changeMembership(): ResultAsync<void, GatewayError> {
    return errAsync(fakeError('no_quorum', this.name));
  }

  override status(): ReplicaStatus {
    const {leader, members} = this.group;
    const hasReachableLeader =
      leader !== undefined && this.group.hasQuorum(this);
    return {
      memberId: asId<MemberId>(this.name),
      role: leader === this ? 'leader' : 'follower',
      term: asNumber(1),
      ...(hasReachableLeader ? {leader: asId<MemberId>(leader.name)} : {}),
      commitIndex: asNumber(this.applied),
      appliedIndex: asNumber(this.applied),
      members: members.map(({name}) => ({
        memberId: asId<MemberId>(name),
        address: name,
        weight: 1,
      })),
    };
  }

  override async stop(): Promise<void> {}
}

/** The fault injected into one request. */
export type ServiceFault =
  'none' | 'refuse' | 'lose_request' | 'lose_answer' | 'hang';

/** A plain service that records executions as call events. */
export class FakeService extends ServiceUpstream {
  faults: ServiceFault[] = [];
  status = 200;

  constructor(
    private readonly network: FakeNetwork,
    private readonly from: string,
    private readonly events: CallEvent[],
  ) {
    super();
  }

  override async dispatch(
    target: ServiceTarget,
    request: ServiceRequest,
  ): Promise<DispatchOutcome> {
    if (this.network.down.has(this.from)) return new Promise(() => undefined);
    const fault = this.faults.shift() ?? 'none';
    const peer = target.upstreamId;
    await this.network.step(`request ${peer}`);
    if (fault === 'refuse') {
      return {kind: 'not_run', error: fakeError('upstream_refused', peer)};
    }
    const result = this.execute(request, fault);
    await this.network.step(`answer ${peer}`);
    if (fault === 'hang' || this.network.down.has(this.from)) {
      return new Promise(() => undefined);
    }
    if (fault !== 'none') return {kind: 'unknown', error: lostError(peer)};
    const body = Buffer.from(result);
    return {
      kind: 'answered',
      answer: {
        status: this.status,
        headers: {'content-type': 'text/plain'},
        body,
        bodyDigest: asId<Digest>(sha256(body)),
        bodySizeBytes: body.byteLength,
      },
    };
  }

  override async close(): Promise<void> {}

  private execute(request: ServiceRequest, fault: ServiceFault): string {
    if (fault === 'lose_request') return '';
    const key = request.headers['idempotency-key'] ?? '';
    const callId = request.headers['x-call-id'] ?? '';
    const result = `${key} by ${callId}`;
    this.events.push({kind: 'executed', callId, key, result});
    return result;
  }
}

function lostError(peer: string): GatewayError {
  return new GatewayError({
    code: 'upstream_failed',
    message: 'connection lost',
    step: 'fake',
    peer,
    work: 'unknown',
  });
}
