/** A control member process: inner listener, replicated log and RPC service. */
import {monotonicNowMs} from '../clock/clock.js';
import type {ControlSettings} from '../config/settings.js';
import type {Logger} from '../logging/logger.js';
import {registerProcessGauges} from '../metrics/process_gauges.js';
import {MetricsRegistry} from '../metrics/registry.js';
import {
  createGroupMember,
  type GroupMember,
} from '../replication/group_member.js';
import {FileReplicaStorage} from '../replication/replica_storage.js';
import {HttpRpcClient} from '../rpc/http_client.js';
import {InnerServer} from '../rpc/http_server.js';
import {RpcRouter, type RpcClient} from '../rpc/rpc.js';
import type {FileLayer} from '../storage/file_layer.js';
import {NodeFileLayer} from '../storage/node_file_layer.js';
import type {ControlCommand, ControlResult} from './commands.js';
import {ConfigurationMachine} from './configuration_machine.js';
import {KEEP_ENTRIES, SNAPSHOT_EVERY_ENTRIES} from './constants.js';
import {ControlService} from './control_service.js';
import {measuresParamsSchema} from './methods.js';
import {QuotaService} from './quota_service.js';

const STORAGE_FOLDER = 'control';
const METHOD_PREFIX = 'control.raft';
/** Voting weight of a control member; equal for all members. */
const MEMBER_WEIGHT = 1;

/** Dependencies of a control member; tests replace the client and the files. */
export interface ControlMemberOptions {
  readonly settings: ControlSettings;
  readonly logger: Logger;
  /** @default JSON-RPC over HTTP */
  readonly client?: RpcClient;
  /** Receives inbound calls. @default the router of a new HTTP listener */
  readonly router?: RpcRouter;
  /** @default the data folder of the settings */
  readonly files?: FileLayer;
}

/** One member of the group that replicates the configuration log. */
export class ControlMember {
  private readonly router: RpcRouter;
  private readonly machine = new ConfigurationMachine();
  private readonly metrics = new MetricsRegistry();
  private readonly client: RpcClient;
  private readonly storage: FileReplicaStorage;
  private readonly server: InnerServer | undefined;
  private member: GroupMember<ControlCommand, ControlResult> | undefined;
  private readonly abortController = new AbortController();
  private service: ControlService | undefined;
  private quotas: QuotaService | undefined;

  constructor(private readonly options: ControlMemberOptions) {
    const {settings} = options;
    const {clusterSecret, listenAddress} = settings;
    const files = options.files ?? new NodeFileLayer(settings.dataFolder);
    this.storage = new FileReplicaStorage(files, STORAGE_FOLDER);
    this.client =
      options.client ??
      new HttpRpcClient({self: settings.instanceId, clusterSecret});
    this.router = options.router ?? new RpcRouter();
    this.server =
      options.router === undefined
        ? new InnerServer({
            address: listenAddress,
            clusterSecret,
            router: this.router,
          })
        : undefined;
  }

  /**
   * Starts to listen, then joins the group or forms a new one. Resolves when
   * the member is running; forming a group waits for the other initial members.
   */
  async start(): Promise<void> {
    const {settings, logger} = this.options;
    const startedAtMs = monotonicNowMs();
    registerProcessGauges(this.metrics);
    this.router.register('control.measures', measuresParamsSchema, () =>
      this.metrics.snapshot(),
    );
    await this.server?.start();
    logger.info({address: settings.listenAddress}, 'listening');
    this.member = await createGroupMember<ControlCommand, ControlResult>({
      instance: settings.instanceId,
      address: settings.listenAddress,
      founders: settings.initialMembers.map(({instanceId, address}) => ({
        instance: instanceId,
        address,
        weight: MEMBER_WEIGHT,
      })),
      methodPrefix: METHOD_PREFIX,
      stateMachine: this.machine,
      storage: this.storage,
      client: this.client,
      router: this.router,
      signal: this.abortController.signal,
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      keepEntries: KEEP_ENTRIES,
      onFailure: error =>
        logger.error({err: error}, 'configuration log failed'),
    });
    this.startService(this.member.replica);
    logger.info(
      {startMs: Math.round(monotonicNowMs() - startedAtMs)},
      'control member started',
    );
  }

  /** Transfers leadership, then closes the log and the listener. */
  async stop(): Promise<void> {
    this.service?.stop();
    this.quotas?.stop();
    this.abortController.abort();
    await this.member?.stop();
    await this.client.close();
    await this.server?.stop();
    this.options.logger.info('control member stopped');
  }

  /** Stops the member at once without cleanup, as a process crash would. */
  abort(): void {
    this.abortController.abort();
    this.service?.stop();
    this.quotas?.stop();
    this.member?.abort();
  }

  private startService(
    log: GroupMember<ControlCommand, ControlResult>['replica'],
  ) {
    const {settings} = this.options;
    const {initialOperator} = settings;
    const {machine, router} = this;
    this.quotas = new QuotaService({log, machine, router});
    this.service = new ControlService({
      instanceId: settings.instanceId,
      selfAddress: settings.listenAddress,
      log,
      machine: this.machine,
      rpc: this.client,
      router: this.router,
      ...(initialOperator === undefined ? {} : {initialOperator}),
    });
  }
}
