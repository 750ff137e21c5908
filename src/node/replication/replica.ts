/**
 * Runs a member of a replicated log: an actor that owns the state of the core,
 * passes messages, timers and calls to it as events, and performs its effects.
 */
import {dispatch, spawn, start, stop} from 'nact';
import {ResultAsync} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError, toGatewayError, type ErrorCode} from '../types/errors.js';
import type {MemberId} from '../types/ids.js';
import type {PeerReply, PeerRequest, SnapshotRequest} from './core/messages.js';
import {nextDeadlineMs, step} from './core/step.js';
import {
  currentMembers,
  type Effect,
  type MembershipChange,
  type ReplicaEvent,
  type ReplicaState,
} from './core/state.js';
import {DeadlineTimer} from './deadline_timer.js';
import {Compaction} from './compaction.js';
import {mergeEvents} from './merge_events.js';
import {PeerTransport} from './peer_transport.js';
import {PendingCalls} from './pending_calls.js';
import {
  ReplicatedLog,
  type JsonValue,
  type ReplicaStatus,
} from './replicated_log.js';
import type {ResolvedReplicaOptions} from './replica_options.js';
import type {StoredSnapshot} from './replica_storage.js';
import {SnapshotAssembly, transferSnapshot} from './snapshot_transfer.js';
import {StateMachineRunner} from './state_machine_runner.js';
import {StorageWriter, type StorageChange} from './storage_writer.js';
import {statusOf} from './replica_status.js';
import {retryUntilReady} from './retry_until_ready.js';
import {Waiters} from './waiters.js';
import {weightSteps} from './weight_steps.js';

type Wake = 'wake';

/** A member of a group; use `createReplica` to create one. */
export class Replica<Command, Result> extends ReplicatedLog<Command, Result> {
  private readonly system = start();
  private readonly actor;
  private readonly waiters = new Waiters();
  private readonly runner: StateMachineRunner<Command, Result>;
  private readonly writer: StorageWriter;
  private readonly transport: PeerTransport;
  private readonly compaction: Compaction<Command, Result>;
  private readonly assembly = new SnapshotAssembly();
  private readonly pendingCalls = new PendingCalls();
  private inbox: ReplicaEvent[] = [];
  private isWakePending = false;
  private isStopped = false;
  private readonly timer = new DeadlineTimer(() =>
    this.enqueue({kind: 'tick'}),
  );
  private leaderSeenAtMs = monotonicNowMs();
  private onLeadershipLost: (() => void) | undefined;

  constructor(
    private readonly options: ResolvedReplicaOptions<Command, Result>,
    private state: ReplicaState,
    snapshot: StoredSnapshot,
  ) {
    super();
    this.runner = new StateMachineRunner(options.stateMachine, this.waiters);
    this.runner.restore(snapshot);
    this.writer = new StorageWriter(
      options.storage,
      {
        onVoteSaved: term => this.enqueue({kind: 'vote_saved', term}),
        onPersisted: (index, term) =>
          this.enqueue({kind: 'persisted', index, term}),
        onStorageChange: change => this.changeStorage(change),
        onFailure: error => this.stopOnFailure(error),
      },
      {stallMs: options.electionMinMs},
    );
    this.compaction = new Compaction(options, this.runner, this.writer, event =>
      this.enqueue(event),
    );
    this.compaction.recordSnapshot(snapshot);
    this.transport = new PeerTransport(options);
    this.actor = spawn(
      this.system,
      (_state: undefined, _message: Wake) => this.processInbox(),
      'replica',
      {
        // An event that failed half-way leaves the state undefined: stop.
        onCrash: (_message, error, context) => {
          this.stopOnFailure(toGatewayError(error, 'replication.step', 'self'));
          return context.stop;
        },
      },
    );
    this.transport.listen((from, request) => this.receive(from, request));
    this.transport.registerReadIndexMethod(() => this.confirmReadIndex());
    this.timer.arm(nextDeadlineMs(this.state));
  }

  /** Counters of storage writes since the start. */
  get storageCounters(): Readonly<StorageWriter['counters']> {
    return this.writer.counters;
  }

  override propose(command: Command): ResultAsync<Result, GatewayError> {
    return this.runAsResult('propose', () => {
      if (this.waiters.size >= this.options.maxPendingProposals) {
        throw this.error('overloaded', 'too many pending proposals', 'propose');
      }
      const value = command as JsonValue;
      return this.waitFor<Result>('propose', id =>
        this.enqueue({kind: 'propose', proposals: [{id, command: value}]}),
      );
    });
  }

  override readBarrier(): ResultAsync<void, GatewayError> {
    return this.runAsResult('read', async () => {
      const {leader} = this.state;
      const isRemote = leader !== undefined && leader !== this.memberId;
      const address = isRemote ? this.addressOf(leader) : undefined;
      if (address === undefined) {
        await this.confirmReadIndex();
        return;
      }
      const index = await this.transport.readIndex(address);
      await this.waitFor<void>('read', id =>
        this.waiters.completeReadAt(id, index, this.runner.appliedIndex),
      );
    });
  }

  override changeMembership(
    change: MembershipChange,
  ): ResultAsync<void, GatewayError> {
    return this.runAsResult('change', async () => {
      // A learner must catch up with the commit index of the first attempt:
      // under load it might never reach the current one.
      const caughtUpIndex = this.state.commitIndex;
      const {heartbeatMs, proposeTimeoutMs} = this.options;
      for (const part of weightSteps(currentMembers(this.state), change)) {
        const attempt = (): Promise<void> =>
          this.waitFor('change', id =>
            this.enqueue({kind: 'change', id, change: part, caughtUpIndex}),
          );
        await retryUntilReady(attempt, proposeTimeoutMs, heartbeatMs);
      }
    });
  }

  override status(): ReplicaStatus {
    const {appliedIndex} = this.runner;
    return statusOf(this.state, {appliedIndex, isStopped: this.isStopped});
  }

  override async stop(): Promise<void> {
    if (!this.isStopped) await this.transferLeadership();
    this.halt('this member is stopping');
    // A disk that stalls delays the closing of its files as well.
    if (await this.writer.close()) await this.options.storage.close();
  }

  /** Ends the leadership of this member, if another voter can lead. */
  async transferLeadership(): Promise<void> {
    const hasSuccessor = currentMembers(this.state).some(
      member => member.weight > 0 && member.memberId !== this.memberId,
    );
    if (this.state.role !== 'leader' || !hasSuccessor) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, this.options.electionMinMs);
      this.onLeadershipLost = () => {
        clearTimeout(timer);
        resolve();
      };
      this.enqueue({kind: 'transfer'});
    });
  }

  /** Stops immediately, as a crash would; `stop` still closes the files. */
  abort(): void {
    void this.writer.close();
    this.halt('this member was aborted');
  }

  private get memberId(): MemberId {
    return this.options.memberId;
  }

  private halt(message: string): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.timer.clear();
    this.inbox = [];
    this.waiters.failAll(message);
    this.pendingCalls.failAll(this.error('stopping', message, 'receive'));
    this.onLeadershipLost?.();
    stop(this.system);
  }

  private stopOnFailure(error: GatewayError): void {
    if (this.isStopped) return;
    this.halt(`this member stopped: ${error.message}`);
    this.options.onFailure(error);
  }

  private changeStorage(change: StorageChange): void {
    if (this.isStopped) return;
    this.enqueue({kind: 'storage', isWritable: change.isWritable});
    this.options.onStorageChange(change);
  }

  private enqueue(event: ReplicaEvent): void {
    if (this.isStopped) return;
    this.inbox.push(event);
    if (this.isWakePending) return;
    this.isWakePending = true;
    dispatch(this.actor, 'wake');
  }

  private processInbox(): undefined {
    this.isWakePending = false;
    const events = mergeEvents(this.inbox);
    this.inbox = [];
    events.forEach(event => this.handle(event));
    if (!this.isStopped) {
      this.compaction.runIfDue(this.state.log);
      this.timer.arm(nextDeadlineMs(this.state));
    }
    return undefined;
  }

  private handle(event: ReplicaEvent): void {
    if (this.isStopped) return;
    const wasLeader = this.state.role === 'leader';
    const {state, effects} = step(this.state, event, {
      nowMs: monotonicNowMs(),
      random: this.options.random(),
    });
    this.state = state;
    if (state.leader !== undefined) this.leaderSeenAtMs = state.nowMs;
    effects.forEach(effect => this.perform(effect));
    if (wasLeader && state.role !== 'leader') this.onLeadershipLost?.();
  }

  private perform(effect: Effect): void {
    switch (effect.kind) {
      case 'save_hard_state': {
        const {term, vote} = effect;
        const hardState = {memberId: this.memberId, term, vote};
        return this.writer.write({kind: 'hard_state', hardState});
      }
      case 'save_entries':
        return this.writer.write({kind: 'frame', frame: effect});
      case 'install_snapshot':
        return this.install(effect.snapshot);
      case 'send':
        return this.whenReady(effect.durable, () =>
          this.send(effect.to, effect.request),
        );
      case 'reply':
        return this.whenReady(effect.durable, () =>
          this.pendingCalls.respond(effect.callId, effect.reply),
        );
      case 'send_snapshot':
        return this.sendSnapshot(effect.to);
      case 'commit':
        return this.runner.applyUpTo(this.state.log, effect.index);
      case 'accepted':
        return effect.ids.forEach((id, position) =>
          this.waiters.setEntry(id, effect.firstIndex + position, effect.term),
        );
      case 'refused':
        return effect.ids.forEach(id =>
          this.waiters.fail(id, this.rejection(effect.code, effect.message)),
        );
      case 'read_ready':
        return this.waiters.completeReadAt(
          effect.id,
          effect.index,
          this.runner.appliedIndex,
        );
    }
  }

  private whenReady(isDurable: boolean, action: () => void): void {
    if (isDurable) this.writer.whenDurable(action);
    else action();
  }

  private send(to: MemberId, request: PeerRequest): void {
    const address = this.addressOf(to);
    if (address === undefined || this.isStopped) return;
    void this.transport.request(to, address, request).then(reply => {
      if (reply !== undefined) {
        this.enqueue({kind: 'reply', from: to, reply});
      } else if (request.kind === 'append') {
        this.enqueue({kind: 'unreachable', peer: to});
      }
    });
  }

  private receive(from: MemberId, request: PeerRequest): Promise<PeerReply> {
    if (this.isStopped) {
      throw this.error('stopping', 'this member has stopped', 'receive');
    }
    if (request.kind === 'snapshot' && !this.state.isWritable) {
      throw this.error('not_ready', 'the disk refuses writes', 'receive');
    }
    const complete =
      request.kind === 'snapshot' ? this.assembly.add(from, request) : request;
    if (complete === undefined) {
      throw this.error('bad_request', 'a snapshot chunk is missing', 'receive');
    }
    return this.pendingCalls.start(callId =>
      this.enqueue({kind: 'request', from, callId, request: complete}),
    );
  }

  private async confirmReadIndex(): Promise<number> {
    await this.waitFor<void>('read', id =>
      this.enqueue({kind: 'read', ids: [id]}),
    );
    return this.runner.appliedIndex;
  }

  private install(snapshot: SnapshotRequest): void {
    const {index, indexTerm, members, data} = snapshot;
    const stored = {index, term: indexTerm, members, data};
    this.writer.write({kind: 'snapshot', snapshot: stored, keepFrom: index});
    this.runner.restore(stored);
    this.compaction.recordSnapshot(stored);
  }

  private sendSnapshot(to: MemberId): void {
    const address = this.addressOf(to);
    if (address === undefined) return;
    const transfer = transferSnapshot(
      this.runner.snapshot(this.state.log),
      this.state.term,
      this.options.snapshotChunkChars,
      chunk => this.transport.request(to, address, chunk),
    );
    void transfer.then(({reply, index}) => {
      if (reply !== undefined) this.enqueue({kind: 'reply', from: to, reply});
      this.enqueue({kind: 'snapshot_sent', peer: to, index});
    });
  }

  private addressOf(memberId: MemberId): string | undefined {
    return currentMembers(this.state).find(
      member => member.memberId === memberId,
    )?.address;
  }

  private waitFor<Value>(
    name: string,
    begin: (id: number) => void,
  ): Promise<Value> {
    if (this.isStopped) {
      throw this.error('stopping', 'this member has stopped', name);
    }
    const {proposeTimeoutMs} = this.options;
    return this.waiters.start(`replication.${name}`, proposeTimeoutMs, begin);
  }

  private runAsResult<Value>(
    name: string,
    action: () => Promise<Value>,
  ): ResultAsync<Value, GatewayError> {
    const running = Promise.resolve().then(action);
    return ResultAsync.fromPromise(running, thrown =>
      toGatewayError(thrown, `replication.${name}`, 'self'),
    );
  }

  // No leader for longer than an election takes means that there is no quorum.
  private rejection(code: ErrorCode, message: string): GatewayError {
    const leaderlessMs = monotonicNowMs() - this.leaderSeenAtMs;
    const isQuorumMissing =
      code === 'not_leader' && leaderlessMs >= this.options.electionMaxMs;
    return isQuorumMissing
      ? this.error('no_quorum', 'the group has no leader', 'propose')
      : this.error(code, message, 'propose');
  }

  private error(code: ErrorCode, message: string, name: string): GatewayError {
    const {leader} = this.state;
    return new GatewayError({
      code,
      message,
      step: `replication.${name}`,
      peer: 'self',
      leader: leader === this.memberId ? undefined : leader,
    });
  }
}
