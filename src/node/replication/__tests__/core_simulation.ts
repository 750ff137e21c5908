/**
 * Runs several cores on a simulated network and simulated disks, driven by a
 * list of choices, and checks the safety properties of Raft after each event.
 */
import assert from 'node:assert/strict';
import {seededRandom} from '../../__tests__/support/random.js';
import type {MemberId} from '../../types/ids.js';
import {entryAt, termAt} from '../core/log.js';
import type {PeerReply, PeerRequest} from '../core/messages.js';
import {
  createInitialState,
  nextDeadlineMs,
  step,
  type InitialState,
} from '../core/step.js';
import {
  currentMembers,
  type Effect,
  type MembershipChange,
  type ReplicaEvent,
  type ReplicaState,
} from '../core/state.js';
import {memberIdOf} from '../peer_transport.js';
import {
  distortRequest,
  distortReply,
  entriesToCompare,
  type Checker,
  type SeededFault,
} from './core_simulation_faults.js';
import {founder} from './replica_group.js';

/** One choice: which action runs, and a number that selects its target. */
export type Choice = readonly [action: number, target: number];

interface SimulatedNode {
  id: MemberId;
  state: ReplicaState;
  epoch: number;
  isUp: boolean;
  /** Synced state. */
  disk: InitialState;
  /** Saves and durable messages that a crash discards. */
  unsynced: (() => void)[];
  applied: string[];
}

interface InFlight {
  readonly to: MemberId;
  readonly deliver: (node: SimulatedNode) => void;
  readonly fail: () => void;
}

const NAMES = ['a', 'b', 'c', 'd', 'e'];
const FOUNDERS = NAMES.slice(0, 3).map(name => founder(name));
/** Low batch limits, so that a few entries need several messages. */
export const SETTINGS = {
  electionMinMs: 1000,
  electionMaxMs: 2000,
  heartbeatMs: 200,
  maxBatchEntries: 3,
  maxBatchChars: 20,
  maxInFlight: 2,
};

/** The action `emptyDisk` takes effect for one in this many targets. */
const CHOICES_PER_EMPTIED_DISK = 16;
/** The next message to deliver is one of this many oldest ones. */
const REORDER_WINDOW = 8;

export class CoreSimulation {
  /** Entries that some member applied, by index. */
  readonly committed = new Map<number, string>();
  readonly leaders = new Map<number, MemberId>();
  private readonly nodes: readonly SimulatedNode[];
  private readonly random = seededRandom(1);
  private readonly partitioned = new Set<MemberId>();
  /** Number of disks that were emptied. */
  emptiedDisks = 0;
  private inFlight: InFlight[] = [];
  private nowMs = 0;
  private lastId = 0;

  /** With `onlyChecker`, all other checkers are disabled. */
  constructor(
    private readonly fault?: SeededFault,
    private readonly onlyChecker?: Checker,
  ) {
    this.nodes = NAMES.map((name, position) => {
      const members = position < FOUNDERS.length ? FOUNDERS : [];
      const disk: InitialState = {members};
      const id = founder(name).memberId;
      const state = this.initialState(id, disk);
      const rest = {epoch: 0, isUp: true, unsynced: [], applied: []};
      return {id, state, disk, ...rest};
    });
  }

  /** Executes one choice; throws if a property is violated. */
  run([action, target]: Choice): void {
    const node = this.nodes[target % this.nodes.length] as SimulatedNode;
    if (action < 55) return this.deliver(target, action < 53);
    if (action < 75) return this.sync(node);
    if (action < 79) return this.advanceTime(target);
    if (action < 90) return this.propose(node);
    if (action < 92) return this.change(target);
    if (action < 95) return this.compact(node);
    if (action < 96) return void this.partitioned.add(node.id);
    if (action < 97) return this.partitioned.clear();
    if (action < 98) return this.emptyDisk(node, target);
    return this.crash(node);
  }

  private initialState(id: MemberId, disk: InitialState): ReplicaState {
    return createInitialState(
      {...SETTINGS, memberId: id},
      disk,
      this.context(),
    );
  }

  private context(): {nowMs: number; random: number} {
    return {nowMs: this.nowMs, random: this.random()};
  }

  private deliver(target: number, arrives: boolean): void {
    const window = Math.min(this.inFlight.length, REORDER_WINDOW);
    const [message] = this.inFlight.splice(target % window, 1);
    const node = this.nodes.find(({id}) => id === message?.to);
    if (message === undefined || node === undefined) return;
    const isReachable = node.isUp && !this.partitioned.has(node.id);
    if (arrives && isReachable) message.deliver(node);
    else message.fail();
  }

  private sync(node: SimulatedNode): void {
    if (!node.isUp) this.restart(node);
    const {unsynced} = node;
    node.unsynced = [];
    unsynced.forEach(write => write());
  }

  private advanceTime(target: number): void {
    const up = this.nodes.filter(node => node.isUp);
    const due = [...up].sort(
      (x, y) => nextDeadlineMs(x.state) - nextDeadlineMs(y.state),
    )[target % 2];
    if (due === undefined) return;
    this.nowMs = Math.max(this.nowMs, nextDeadlineMs(due.state));
    this.handle(due, {kind: 'tick'});
  }

  private propose(node: SimulatedNode): void {
    if (!node.isUp) return;
    const id = ++this.lastId;
    const proposals = [{id, command: `c${id}`}];
    this.handle(node, {kind: 'propose', proposals});
  }

  private change(target: number): void {
    const leader = this.nodes.find(n => n.isUp && n.state.role === 'leader');
    if (leader === undefined) return;
    const members = currentMembers(leader.state);
    const ids = new Set(
      [...members.map(m => m.memberId), ...this.nodes.map(n => n.id)].sort(),
    );
    const memberId = [...ids][target % ids.size] as MemberId;
    const known = members.find(m => m.memberId === memberId);
    const weight = ((known?.weight ?? 0) + 1) % 3;
    const member = {memberId, address: '', weight: 0};
    const changes: readonly MembershipChange[] = [
      {kind: 'remove', memberId},
      {kind: 'set_weight', memberId, weight},
      {kind: 'set_weight', memberId, weight: 1},
    ];
    const change: MembershipChange = known
      ? changes[(target >> 4) % 3]!
      : {kind: 'add_learner', member};
    const caughtUpIndex = leader.state.commitIndex;
    const id = ++this.lastId;
    this.handle(leader, {kind: 'change', id, change, caughtUpIndex});
  }

  // The instance returns under its next identity, to be added as a learner;
  // with the fault `reused_identity`, under its old one as a founder.
  private emptyDisk(node: SimulatedNode, target: number): void {
    if (target % CHOICES_PER_EMPTIED_DISK !== 0) return;
    this.crash(node);
    if (this.fault !== 'reused_identity') {
      const [instance = '', incarnation] = node.id.split('#');
      node.id = memberIdOf(instance, String(Number(incarnation) + 1));
      node.disk = {members: []};
    } else {
      node.disk = {members: FOUNDERS};
    }
    this.emptiedDisks++;
  }

  private compact(node: SimulatedNode): void {
    const index = node.applied.length;
    if (!node.isUp || index <= (node.disk.snapshotIndex ?? 0)) return;
    node.unsynced.push(() => {
      const members = this.membersAt(node.state, index);
      node.disk = {...node.disk, snapshotIndex: index, members};
      this.handle(node, {kind: 'compacted', index, keepFrom: index - 2});
    });
  }

  private crash(node: SimulatedNode): void {
    if (!node.isUp) return;
    node.isUp = false;
    node.epoch++;
    node.unsynced = [];
  }

  private restart(node: SimulatedNode): void {
    node.isUp = true;
    node.state = this.initialState(node.id, node.disk);
    const restored = node.disk.snapshotIndex ?? 0;
    node.applied = node.applied.slice(0, restored);
  }

  private membersAt(state: ReplicaState, index: number) {
    return (
      state.configs.findLast(config => config.index <= index)?.members ?? []
    );
  }

  private handle(node: SimulatedNode, event: ReplicaEvent): void {
    const {state, effects} = step(node.state, event, this.context());
    const isNewLeader = state.role === 'leader' && node.state.role !== 'leader';
    const losesVote = this.fault === 'lost_vote';
    node.state = losesVote ? {...state, vote: undefined} : state;
    if (isNewLeader) this.checkNewLeader(node);
    effects.forEach(effect => this.perform(node, effect));
    this.checkLogMatching(node);
  }

  private perform(node: SimulatedNode, effect: Effect): void {
    switch (effect.kind) {
      case 'save_hard_state': {
        const {term, vote} = effect;
        node.unsynced.push(() => {
          node.disk = {...node.disk, term, vote};
          this.handle(node, {kind: 'vote_saved', term});
        });
        return;
      }
      case 'save_entries': {
        const {log} = node.state;
        const last = effect.entries.at(-1);
        node.unsynced.push(() => {
          if (this.fault !== 'lost_sync') node.disk = {...node.disk, log};
          const {index = 0, term = 0} = last ?? {};
          this.handle(node, {kind: 'persisted', index, term});
        });
        return;
      }
      case 'install_snapshot': {
        const {index, members, data} = effect.snapshot;
        const {log} = node.state;
        node.applied = JSON.parse(data) as string[];
        node.unsynced.push(() => {
          node.disk = {...node.disk, log, snapshotIndex: index, members};
        });
        return;
      }
      case 'send':
        return this.afterSync(node, effect.durable, () =>
          this.send(node, effect.to, effect.request),
        );
      case 'send_snapshot':
        return this.sendSnapshot(node, effect.to);
      case 'commit':
        return this.apply(node, effect.index);
      case 'reply':
        return this.afterSync(node, effect.durable, () =>
          this.replies.get(effect.callId)?.(effect.reply),
        );
      default:
        return;
    }
  }

  private readonly replies = new Map<number, (reply: PeerReply) => void>();

  private afterSync(
    node: SimulatedNode,
    isDurable: boolean,
    action: () => void,
  ): void {
    if (isDurable && node.unsynced.length > 0) node.unsynced.push(action);
    else action();
  }

  private send(
    from: SimulatedNode,
    to: MemberId,
    request: PeerRequest,
    onReply: (reply: PeerReply) => void = reply =>
      this.handle(from, {kind: 'reply', from: to, reply}),
  ): void {
    const {epoch} = from;
    const isSameRun = (): boolean => from.isUp && from.epoch === epoch;
    const fail = (): void => {
      if (isSameRun()) this.handle(from, {kind: 'unreachable', peer: to});
    };
    const deliver = (node: SimulatedNode): void => {
      const callId = ++this.lastId;
      const received = distortRequest(this.fault, node.state.log, request);
      this.replies.set(callId, reply =>
        this.inFlight.push({
          to: from.id,
          deliver: () =>
            isSameRun() && onReply(distortReply(this.fault, request, reply)),
          fail,
        }),
      );
      this.handle(node, {
        kind: 'request',
        from: from.id,
        callId,
        request: received,
      });
    };
    if (this.partitioned.has(from.id)) return fail();
    this.inFlight.push({to, deliver, fail});
  }

  private sendSnapshot(node: SimulatedNode, to: MemberId): void {
    const {state, applied} = node;
    const index = applied.length;
    const request: PeerRequest = {
      kind: 'snapshot',
      term: state.term,
      index,
      indexTerm: termAt(state.log, index) ?? 0,
      members: [...this.membersAt(state, index)],
      data: JSON.stringify(applied),
      offset: 0,
      isLast: true,
    };
    this.send(node, to, request, reply => {
      this.handle(node, {kind: 'reply', from: to, reply});
      const isInstalled = reply.term === request.term;
      const result = isInstalled ? index : undefined;
      this.handle(node, {kind: 'snapshot_sent', peer: to, index: result});
    });
  }

  private apply(node: SimulatedNode, index: number): void {
    for (let next = node.applied.length + 1; next <= index; next++) {
      const value = JSON.stringify(entryAt(node.state.log, next));
      const known = this.committed.get(next) ?? value;
      this.check('state machine safety', next, value, known);
      this.committed.set(next, known);
      node.applied.push(value);
    }
  }

  private checkNewLeader(node: SimulatedNode): void {
    const {term, log} = node.state;
    const known = this.leaders.get(term) ?? node.id;
    this.check('election safety', term, node.id, known);
    this.leaders.set(term, node.id);
    const missing = [...this.committed].filter(
      ([index, value]) =>
        index > log.baseIndex && JSON.stringify(entryAt(log, index)) !== value,
    );
    this.check('leader completeness', term, missing, []);
  }

  private checkLogMatching(node: SimulatedNode): void {
    this.nodes
      .filter(other => other !== node)
      .flatMap(other => entriesToCompare(node.state.log, other.state.log))
      .forEach(({index, left, right}) =>
        this.check('log matching', index, left, right),
      );
  }

  private check(
    checker: Checker,
    position: number,
    actual: unknown,
    expected: unknown,
  ): void {
    if (this.onlyChecker !== undefined && this.onlyChecker !== checker) return;
    assert.deepEqual(actual, expected, `${checker} at ${position}`);
  }
}
