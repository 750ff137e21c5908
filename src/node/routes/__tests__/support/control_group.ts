/** Control members with disks on an in-memory network and a paused clock. */
import type {TestContext} from 'node:test';
import type {Result} from 'neverthrow';
import {pino} from 'pino';
import {advanceClock} from '../../../__tests__/support/advance_clock.js';
import {MemoryNetwork} from '../../../__tests__/support/memory_network.js';
import {
  RefusingFileLayer,
  type DiskFault,
} from '../../../__tests__/support/refusing_file_layer.js';
import {FileReplicaStorage} from '../../../replication/replica_storage.js';
import {RpcRouter} from '../../../rpc/rpc.js';
import type {GatewayError} from '../../../types/errors.js';
import {asId, type DomainId, type InstanceId} from '../../../types/ids.js';
import {ControlPlane} from '../../control_plane.js';
import type {RouteTable} from '../../route_table.js';
import type {
  ControlChange,
  ControlChangeResult,
} from '../../route_table_machine.js';

/** Coarser than a heartbeat would be slow; finer gains nothing here. */
const STEP_MS = 10;

export function tableOf(version: number): RouteTable {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    source: '',
  };
}

/** Starts, stops and crashes control members; `name:1` is an address. */
export class ControlGroup {
  readonly network = new MemoryNetwork({delayMs: 1});
  private readonly disks = new Map<string, RefusingFileLayer>();
  /** Events that members have logged. */
  readonly events: string[] = [];
  private readonly logger = pino(
    {level: 'info'},
    {
      write: (line: string) => {
        this.events.push((JSON.parse(line) as {event: string}).event);
      },
    },
  );
  private readonly members = new Map<string, ControlPlane>();

  /** `seeds` are named by the settings of members that start from now on. */
  constructor(
    private readonly context: TestContext,
    public seeds: readonly string[],
  ) {
    context.after(async () => {
      const stopped = Promise.all(this.names.map(name => this.stop(name)));
      await advanceClock(context, 5_000, STEP_MS);
      await stopped;
    });
  }

  get names(): readonly string[] {
    return [...this.members.keys()];
  }

  /** Starts members; `mayFound` is set at the first start of all alone. */
  start(names: readonly string[], mayFound = false): void {
    names.forEach(name => {
      const address = `${name}:1`;
      const router = new RpcRouter();
      const disk = this.disks.get(name) ?? new RefusingFileLayer();
      disk.restart();
      this.disks.set(name, disk);
      const control = new ControlPlane({
        instanceId: asId<InstanceId>(name),
        innerAddress: address,
        founderAddresses: this.seeds.map(seed => `${seed}:1`),
        mayFound,
        clusterSecret: 'secret-of-the-specs',
        storage: new FileReplicaStorage(disk, 'routes'),
        client: this.network.attach(address, name, router),
        router,
        logger: this.logger,
        onFailure: error => {
          throw error;
        },
      });
      this.members.set(name, control);
      void control.start();
    });
  }

  /** Sets the fault of a member's disk, or ends it. */
  setDiskFault(name: string, fault: DiskFault | undefined): void {
    this.disks.get(name)?.setFault(fault);
  }

  member(name: string): ControlPlane {
    const member = this.members.get(name);
    if (member === undefined) throw new Error(`no member ${name}`);
    return member;
  }

  /** Whether one member acknowledges a table. */
  async replaceTableAt(name: string, version: number): Promise<boolean> {
    const change = this.member(name).replaceTable(tableOf(version));
    return (await this.waitFor(change))?.isOk() === true;
  }

  /** The version that one member reads. */
  async readVersionAt(name: string): Promise<number | undefined> {
    const state = await this.waitFor(this.member(name).readState());
    return state?.isOk() === true ? state.value.table?.version : undefined;
  }

  /** Stops a member as planned. */
  async stop(name: string): Promise<void> {
    const control = this.members.get(name);
    this.members.delete(name);
    const stopped = control?.stop();
    await advanceClock(this.context, 3_000, STEP_MS);
    await stopped;
    this.network.detach(`${name}:1`);
  }

  /** Ends a member at once; `isDiskLost` leaves it an empty disk. */
  kill(name: string, isDiskLost: boolean): void {
    const control = this.members.get(name);
    this.members.delete(name);
    this.network.detach(`${name}:1`);
    this.disks.get(name)?.crash();
    if (isDiskLost) this.disks.get(name)?.empty();
    void control?.stop().catch(() => undefined);
  }

  advance(durationMs: number): Promise<void> {
    return advanceClock(this.context, durationMs, STEP_MS);
  }

  /** Sends a table to each member until one acknowledges it. */
  async replaceTable(version: number): Promise<boolean> {
    for (const control of this.members.values()) {
      const result = await this.waitFor(control.replaceTable(tableOf(version)));
      if (result?.isOk() === true) return true;
    }
    return false;
  }

  /** The version that a confirmed read returns, or `undefined` without one. */
  async readVersion(): Promise<number | undefined> {
    for (const control of this.members.values()) {
      const state = await this.waitFor(control.readState());
      if (state?.isOk() === true) return state.value.table?.version;
    }
    return undefined;
  }

  /** The member that leads the group. */
  leader(): string {
    const leading = [...this.members].find(([, control]) => control.isLeader());
    if (leading === undefined) throw new Error('the group has no leader');
    return leading[0];
  }

  /** Gives a member an order; `isWaiting` says whether its operator waits. */
  order(
    name: string,
    domain: DomainId,
    isEvacuated: boolean,
    isWaiting: () => boolean,
  ): PromiseLike<Result<ControlChangeResult, GatewayError>> | undefined {
    const order = {kind: 'set_evacuation', domain, isEvacuated} as const;
    return this.members.get(name)?.setEvacuation(order, {isWaiting});
  }

  /** Whether a member confirms an order. */
  async confirmOrder(
    name: string,
    domain: DomainId,
    isEvacuated: boolean,
  ): Promise<boolean> {
    const isWaiting = (): boolean => true;
    const result = await this.waitFor(
      this.order(name, domain, isEvacuated, isWaiting),
    );
    return result?.isOk() === true;
  }

  /** Forwards a proposal as another member does; whether it was accepted. */
  async forward(
    from: string,
    to: string,
    change: ControlChange,
  ): Promise<boolean> {
    const forwarded = this.network
      .call(`${from}:1`, `${to}:1`, 'routes.raft.propose', change, 2_000)
      .then(
        () => true,
        () => false,
      );
    return (await this.waitFor(forwarded)) === true;
  }

  /** The evacuated domains of a confirmed read. */
  async readEvacuated(): Promise<readonly DomainId[] | undefined> {
    for (const control of this.members.values()) {
      const state = await this.waitFor(control.readState());
      if (state?.isOk() === true) return state.value.evacuatedDomains;
    }
    return undefined;
  }

  private async waitFor<Value>(
    promise: PromiseLike<Value> | undefined,
  ): Promise<Value | undefined> {
    let settled: {value: Value} | undefined;
    void promise?.then(value => {
      settled = {value};
    });
    for (let step = 0; step < 60 && settled === undefined; step++) {
      await this.advance(100);
    }
    return settled?.value;
  }
}
