/** A group of replicas on an in-memory network, for tests. */
import type {TestContext} from 'node:test';
import {advanceClock, settle} from '../../__tests__/support/advance_clock.js';
import {FaultFileLayer} from '../../__tests__/support/fault_file_layer.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {seededRandom} from '../../__tests__/support/random.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {createReplica} from '../create_replica.js';
import {instanceOf, memberIdOf} from '../peer_transport.js';
import type {Replica} from '../replica.js';
import type {ReplicaOptions} from '../replica_options.js';
import {FileReplicaStorage, MemoryReplicaStorage} from '../replica_storage.js';
import {
  StateMachine,
  type JsonValue,
  type ReplicaMember,
} from '../replicated_log.js';

/** Appends every command to a list and returns the list's length. */
export class ListMachine extends StateMachine<string, number> {
  commands: string[] = [];

  override apply(command: string): number {
    return this.commands.push(command);
  }

  override snapshot(): JsonValue {
    return this.commands;
  }

  override restore(snapshot: JsonValue): void {
    this.commands = [...(snapshot as readonly string[])];
  }
}

export interface Node {
  readonly member: ReplicaMember;
  readonly machine: ListMachine;
  readonly replica: Replica<string, number>;
  readonly router: RpcRouter;
}

export type NodeOptions = Partial<ReplicaOptions<string, number>>;

/** A founder called `name`, with its address and weight. */
export function founder(name: string, weight = 1): ReplicaMember {
  return {memberId: memberIdOf(name, '1'), address: `${name}:1`, weight};
}

export class ReplicaGroup {
  readonly nodes = new Map<string, Node>();
  readonly disks = new Map<string, FaultFileLayer>();
  private seed = 1;

  constructor(
    readonly context: TestContext,
    readonly network: MemoryNetwork = new MemoryNetwork(),
    readonly options: NodeOptions = {},
  ) {
    context.after(() => this.crashAll());
  }

  /** Forms a group with a disk for each member. */
  async found(members: readonly ReplicaMember[]): Promise<void> {
    for (const member of members) {
      const {memberId} = member;
      this.disks.set(instanceOf(memberId), new FaultFileLayer());
      await this.start(member, {startAs: 'voter', initialMembers: members});
    }
  }

  /** Starts a member, with the disk of its instance if there is one. */
  async start(member: ReplicaMember, options: NodeOptions = {}): Promise<Node> {
    const instance = instanceOf(member.memberId);
    const router = new RpcRouter();
    const client = this.network.attach(member.address, instance, router);
    const machine = new ListMachine();
    const disk = this.disks.get(instance);
    const replica = await createReplica<string, number>({
      memberId: member.memberId,
      methodPrefix: 'test.raft',
      stateMachine: machine,
      storage:
        disk === undefined
          ? new MemoryReplicaStorage()
          : new FileReplicaStorage(disk, 'log'),
      client,
      router,
      startAs: 'learner',
      random: seededRandom(this.seed++),
      ...this.options,
      ...options,
    });
    const node = {member, machine, replica, router};
    this.nodes.set(instance, node);
    return node;
  }

  node(name: string): Node {
    const node = this.nodes.get(name);
    if (node === undefined) throw new Error(`no node ${name}`);
    return node;
  }

  /** Crashes a member. Its disk keeps only synced data. */
  crash(name: string): void {
    const {member, replica} = this.node(name);
    this.network.detach(member.address);
    this.disks.get(name)?.crash();
    replica.abort();
    this.nodes.delete(name);
  }

  /** Restarts a crashed member from its disk. */
  async restart(member: ReplicaMember, options?: NodeOptions): Promise<Node> {
    this.disks.get(instanceOf(member.memberId))?.restart();
    return this.start(member, options);
  }

  crashAll(): void {
    [...this.nodes.keys()].forEach(name => this.crash(name));
  }

  /** Advances the paused clock. */
  async advance(durationMs: number, stepMs = 10): Promise<void> {
    await advanceClock(this.context, durationMs, stepMs);
  }

  /** Advances the clock until a condition is true. */
  async until(condition: () => boolean, timeoutMs = 20_000): Promise<void> {
    for (let elapsedMs = 0; !condition(); elapsedMs += 10) {
      if (elapsedMs >= timeoutMs) {
        throw new Error(`condition not met after ${timeoutMs} ms`);
      }
      await this.advance(10);
    }
  }

  leaders(): readonly Node[] {
    return [...this.nodes.values()].filter(
      node => node.replica.status().role === 'leader',
    );
  }

  /** Waits for a leader; returns the one with the highest term. */
  async leader(): Promise<Node> {
    await this.until(() => this.leaders().length > 0);
    const term = (node: Node): number => node.replica.status().term;
    return [...this.leaders()].sort((a, b) => term(b) - term(a))[0] as Node;
  }

  /** Advances the clock until a promise settles. */
  async wait<Value>(pending: PromiseLike<Value>): Promise<Value> {
    let isDone = false;
    const watched = Promise.resolve(pending).finally(() => {
      isDone = true;
    });
    watched.catch(() => undefined);
    await settle(this.context);
    await this.until(() => isDone, 60_000);
    return watched;
  }

  /** Proposes at the leader; returns the commands that were acknowledged. */
  async propose(commands: readonly string[]): Promise<readonly string[]> {
    const {replica} = await this.leader();
    const results = await this.wait(
      Promise.all(commands.map(async command => replica.propose(command))),
    );
    return commands.filter((_, position) => results[position]?.isOk());
  }
}
