/**
 * The processes of one scenario: entries and control members of a deployment
 * over an in-memory network, fault-injecting files and upstreams in memory.
 */
import {FaultFileLayer} from '../__tests__/support/fault_file_layer.js';
import {MemoryNetwork} from '../__tests__/support/memory_network.js';
import {seededRandom} from '../__tests__/support/random.js';
import type {Configuration, InstanceConfig} from '../config/configuration.js';
import {ControlMember} from '../control/control_member.js';
import {EntryCore} from '../entry/entry_core.js';
import {createLogger} from '../logging/logger.js';
import {RpcRouter} from '../rpc/rpc.js';
import {
  FakeEngines,
  FakeServices,
  type RecordExecution,
} from './fake_upstreams.js';
import type {HistoryEvent} from './history.js';
import {MemoryForwarder, registerForwarding} from './memory_forwarder.js';

const SECRET = 'a secret of the scenario';
const INNER_DELAY_MS = 1;
const STOP_GRACE_MS = 500;
/** A process that starts again does so under a later time. */
const CONTROL_PREFIX = 'control-';

/** A running or killed process. */
interface Process<Running> {
  readonly files: FaultFileLayer | undefined;
  running: Running | undefined;
  /** Settles when a planned stop under way has ended. */
  stopped?: Promise<void> | undefined;
}

/** What a world is made from. */
export interface WorldOptions {
  readonly configuration: Configuration;
  readonly initialOperator: {readonly name: string; readonly keyDigest: string};
  readonly seed: number;
  readonly record: (event: HistoryEvent) => void;
  readonly recordExecution: RecordExecution;
  readonly nowMs: () => number;
}

/** All processes of a scenario. */
export class World {
  readonly network: MemoryNetwork;
  readonly engines: FakeEngines;
  readonly services: FakeServices;
  private readonly entries = new Map<string, Process<EntryCore>>();
  private readonly controls = new Map<string, Process<ControlMember>>();
  private readonly random: () => number;
  /** What to do when an entry ends without warning. */
  private readonly onKilled = new Map<EntryCore, Array<() => void>>();
  private readonly logger = createLogger({
    name: 'scenario',
    instanceId: 'scenario',
    level: process.env['SCENARIO_LOG'] ?? 'silent',
  });

  constructor(private readonly options: WorldOptions) {
    const {configuration, seed} = options;
    this.network = new MemoryNetwork({seed, delayMs: INNER_DELAY_MS});
    this.random = seededRandom(seed);
    this.services = new FakeServices(
      configuration.upstreams,
      options.recordExecution,
    );
    this.engines = new FakeEngines(
      configuration.upstreams,
      options.recordExecution,
      upstreamId =>
        this.note(`engine ${upstreamId} was ended by a request that it ran`),
      order => options.record({kind: 'order', atMs: options.nowMs(), ...order}),
    );
    this.setDelays();
    configuration.controlMembers.forEach(({instanceId}) =>
      this.controls.set(CONTROL_PREFIX + instanceId, {
        files: new FaultFileLayer(),
        running: undefined,
      }),
    );
    configuration.instances.forEach(({instanceId, hasDisk}) =>
      this.entries.set(instanceId, {
        files: hasDisk ? new FaultFileLayer() : undefined,
        running: undefined,
      }),
    );
  }

  /** Starts every process. */
  startAll(): void {
    [...this.controls.keys(), ...this.entries.keys()].forEach(name =>
      this.start(name),
    );
  }

  /** Starts a process that does not run. */
  start(name: string): void {
    if (name.startsWith(CONTROL_PREFIX)) this.startControl(name);
    else this.startEntry(name);
  }

  /** Ends a process at once; what was not synced is lost. */
  kill(name: string): void {
    const entry = this.entries.get(name);
    const control = this.controls.get(name);
    const files = entry?.files ?? control?.files;
    this.network.detach(this.addressOf(name));
    files?.crash();
    // The objects of the dead process cannot be removed from memory, but they
    // reach neither the network nor the disk any more.
    if (entry?.running !== undefined) {
      entry.running.abort();
      this.onKilled.get(entry.running)?.forEach(end => end());
      entry.running = undefined;
    }
    if (control !== undefined) {
      control.running?.abort();
      control.running = undefined;
    }
  }

  /** Resolves when the entry ends without warning, and never otherwise. */
  killed(core: EntryCore): Promise<void> {
    return new Promise(resolve => {
      const waiting = this.onKilled.get(core) ?? [];
      this.onKilled.set(core, [...waiting, resolve]);
    });
  }

  /** Starts a killed process again, or a stopping one once it has stopped. */
  async restart(name: string, disk: 'kept' | 'emptied'): Promise<void> {
    await this.entries.get(name)?.stopped;
    const isRunning =
      (this.entries.get(name) ?? this.controls.get(name))?.running !==
      undefined;
    if (isRunning) return;
    const files =
      this.entries.get(name)?.files ?? this.controls.get(name)?.files;
    if (disk === 'emptied') files?.empty();
    files?.restart();
    this.start(name);
  }

  /** A planned stop of an entry. */
  async stop(name: string): Promise<void> {
    const entry = this.entries.get(name);
    const core = entry?.running;
    if (entry === undefined || core === undefined) return;
    entry.stopped ??= this.stopCore(name, entry, core).finally(() => {
      entry.stopped = undefined;
    });
    await entry.stopped;
  }

  private async stopCore(
    name: string,
    entry: Process<EntryCore>,
    core: EntryCore,
  ): Promise<void> {
    const killed = this.killed(core);
    const stop = async (): Promise<void> => {
      await core.leave();
      await new Promise(resolve => setTimeout(resolve, STOP_GRACE_MS));
      await core.drain();
      await core.stop();
    };
    await Promise.race([killed, stop()]);
    // A kill during the stop has ended the process already.
    if (entry.running !== core) return;
    this.network.detach(this.addressOf(name));
    entry.running = undefined;
  }

  /** The running entries of a region, or the one instance of that name. */
  entriesAt(place: string): readonly EntryCore[] {
    return this.instancesAt(place)
      .map(({instanceId}) => this.entries.get(instanceId)?.running)
      .filter(core => core !== undefined);
  }

  /** All running entries by name. */
  runningEntries(): ReadonlyMap<string, EntryCore> {
    return new Map(
      [...this.entries].flatMap(([name, {running}]) =>
        running === undefined ? [] : [[name, running] as const],
      ),
    );
  }

  /** The inner addresses of a process, of an instance or of a region. */
  addressesAt(place: string): readonly string[] {
    const {controlMembers} = this.options.configuration;
    const instances = this.instancesAt(place);
    const ids = instances.map(each => each.instanceId);
    return [
      ...instances.map(each => each.innerAddress),
      ...controlMembers
        .filter(
          each =>
            ids.includes(each.instanceId) ||
            CONTROL_PREFIX + each.instanceId === place,
        )
        .map(each => each.innerAddress),
    ];
  }

  /** Whether every entry serves and every record group has a leader. */
  isServing(): boolean {
    return [...this.runningEntries().values()].every(core => core.isServing());
  }

  private instancesAt(place: string): readonly InstanceConfig[] {
    return this.options.configuration.instances.filter(
      each => each.regionId === place || each.instanceId === place,
    );
  }

  private startEntry(name: string): void {
    const entry = this.entries.get(name);
    const instance = this.instancesAt(name)[0];
    if (entry === undefined || instance === undefined) {
      throw new Error(`no process ${name}`);
    }
    const router = new RpcRouter();
    const client = this.network.attach(instance.innerAddress, name, router);
    const core = new EntryCore({
      settings: this.entrySettings(instance),
      logger: this.logger,
      router,
      adapters: {
        client,
        forwarder: new MemoryForwarder(client, (requestId, to) =>
          this.options.record({
            kind: 'forwarded',
            atMs: this.options.nowMs(),
            requestId,
            from: instance.innerAddress,
            to,
          }),
        ),
        modelUpstream: this.engines,
        serviceUpstream: this.services,
        platform: undefined,
        files: entry.files,
      },
      random: this.random,
      onDrain: () => void this.stop(name),
    });
    registerForwarding(router, core.gateway);
    entry.running = core;
    core.start().catch(error => this.note(`${name} failed: ${String(error)}`));
  }

  private startControl(name: string): void {
    const control = this.controls.get(name);
    const member = this.options.configuration.controlMembers.find(
      each => CONTROL_PREFIX + each.instanceId === name,
    );
    if (control?.files === undefined || member === undefined) {
      throw new Error(`no process ${name}`);
    }
    const router = new RpcRouter();
    const {instanceId, domainId, innerAddress} = member;
    const client = this.network.attach(innerAddress, instanceId, router);
    control.running = new ControlMember({
      settings: {
        instanceId,
        domainId,
        listenAddress: innerAddress,
        dataFolder: '',
        clusterSecret: SECRET,
        initialMembers: this.options.configuration.controlMembers.map(each => ({
          instanceId: each.instanceId,
          address: each.innerAddress,
        })),
        initialOperator: this.options.initialOperator,
        logLevel: 'silent',
      },
      logger: this.logger,
      client,
      router,
      files: control.files,
    });
    control.running
      .start()
      .catch(error => this.note(`${name} failed: ${String(error)}`));
  }

  private entrySettings(instance: InstanceConfig) {
    const {configuration} = this.options;
    const {instanceId, domainId, regionId} = instance;
    return {
      instanceId,
      domainId,
      regionId,
      listen: {
        callerAddress: instance.callerAddress,
        innerAddress: instance.innerAddress,
      },
      clusterSecret: SECRET,
      seedAddresses: configuration.instances
        .filter(each => each.domainId === domainId)
        .filter(each => each.instanceId !== instanceId)
        .map(each => each.innerAddress),
      controlAddresses: configuration.controlMembers.map(
        each => each.innerAddress,
      ),
      stopGraceMs: STOP_GRACE_MS,
      logLevel: 'silent' as const,
    };
  }

  private addressOf(name: string): string {
    const [address] = this.addressesAt(name);
    if (address === undefined) throw new Error(`no process ${name}`);
    return address;
  }

  // Links between regions have the configured delay, both ways.
  private setDelays(): void {
    this.options.configuration.links.forEach(link => {
      const from = this.addressesAt(link.fromRegionId);
      const to = this.addressesAt(link.toRegionId);
      from.forEach(left =>
        to.forEach(right => {
          const options = {delayMs: link.oneWayDelayMs};
          this.network.setLink(left, right, options);
          this.network.setLink(right, left, options);
        }),
      );
    });
  }

  private note(text: string): void {
    this.options.record({kind: 'event', atMs: this.options.nowMs(), text});
  }
}
