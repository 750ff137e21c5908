/**
 * This instance's member of its domain's record log. It is started once the
 * configuration gives the instance a vote.
 */
import {wallNowMs} from '../clock/clock.js';
import {errAsync, type ResultAsync} from 'neverthrow';
import type {
  Configuration,
  VersionedConfiguration,
} from '../config/configuration.js';
import type {Lease, LeaseCommand, LeaseResult} from '../orders/lease.js';
import {RecordsService} from '../records/records_service.js';
import type {WorkspaceHome, WorkspaceHomes} from '../records/home_transfer.js';
import {watchForLostGroup} from '../replication/lost_group.js';
import {reconcileMembers} from '../replication/configured_members.js';
import type {Founder} from '../replication/group_formation.js';
import {
  createGroupMember,
  type GroupMember,
} from '../replication/group_member.js';
import {
  FileReplicaStorage,
  MemoryReplicaStorage,
} from '../replication/replica_storage.js';
import type {ReplicaStatus} from '../replication/replicated_log.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import type {FileLayer} from '../storage/file_layer.js';
import {GatewayError} from '../types/errors.js';
import type {DomainId, WorkspaceId} from '../types/ids.js';
import {
  DomainStateMachine,
  RecordLog,
  type DomainCommand,
  type DomainLog,
  type DomainResult,
} from './domain_log.js';
import type {EntryIdentity} from './fleet_state.js';

const RECORDS_FOLDER = 'records';
const METHOD_PREFIX = 'records.raft';

/** Options of a `RecordGroup`. */
export interface RecordGroupOptions {
  readonly identity: EntryIdentity;
  readonly incarnation: number;
  /** The instance's disk, if it has one. */
  readonly files: FileLayer | undefined;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly configuration: () => VersionedConfiguration | undefined;
  readonly onFailure: (error: Error) => void;
}

/** The configured voters of a domain's record log, those with disks first. */
export function recordVoters(
  configuration: Configuration | undefined,
  domainId: DomainId,
): readonly Founder[] {
  return (configuration?.instances ?? [])
    .filter(each => each.domainId === domainId && each.recordWeight > 0)
    .toSorted(
      (left, right) =>
        Number(right.hasDisk) - Number(left.hasDisk) ||
        (left.instanceId < right.instanceId ? -1 : 1),
    )
    .map(each => ({
      instance: each.instanceId,
      address: each.innerAddress,
      weight: each.recordWeight,
    }));
}

/** Runs the member of the record log on one instance. */
export class RecordGroup {
  private machine = new DomainStateMachine();
  private member: GroupMember<DomainCommand, DomainResult> | undefined;
  private service: RecordsService | undefined;
  private starting: Promise<void> | undefined;
  private stopMemberSync: () => void = () => undefined;
  private stopLostGroupWatch: () => void = () => undefined;
  private readonly abortController = new AbortController();

  constructor(private readonly options: RecordGroupOptions) {}

  /** Starts the member if the configuration gives this instance a vote. */
  async startIfConfigured(): Promise<void> {
    const self = this.voters().find(
      each => each.instance === this.options.identity.instanceId,
    );
    if (self === undefined) return;
    this.starting ??= this.startMember(self, this.options.incarnation);
    await this.starting;
  }

  /** Status of the member; `undefined` while none is running. */
  status(): ReplicaStatus | undefined {
    return this.member?.replica.status();
  }

  async stop(): Promise<void> {
    this.abortController.abort();
    this.stopWatches();
    this.service?.stop();
    await this.member?.stop();
  }

  /** Stops the member without a shutdown, as a process crash would. */
  abort(): void {
    this.abortController.abort();
    this.stopWatches();
    this.service?.stop();
    this.member?.abort();
  }

  private stopWatches(): void {
    this.stopMemberSync();
    this.stopLostGroupWatch();
  }

  private async startMember(self: Founder, incarnation: number): Promise<void> {
    const {files, client, router, identity} = this.options;
    const {signal} = this.abortController;
    const formation = {
      instance: identity.instanceId,
      founders: this.voters(),
      methodPrefix: METHOD_PREFIX,
      storage:
        files === undefined
          ? new MemoryReplicaStorage()
          : new FileReplicaStorage(files, RECORDS_FOLDER),
      client,
      router,
      incarnation: () => incarnation,
      signal,
    };
    const member = await createGroupMember<DomainCommand, DomainResult>({
      ...formation,
      address: self.address,
      stateMachine: this.machine,
      onFailure: this.options.onFailure,
    });
    if (signal.aborted) {
      member.abort();
      return;
    }
    this.member = member;
    this.stopLostGroupWatch = watchForLostGroup(
      formation,
      () => member.replica.status(),
      () => void this.reformGroup(),
    );
    this.stopMemberSync = reconcileMembers(
      this.member.replica,
      () => new Map(this.voters().map(each => [each.instance, each.weight])),
    );
    this.startService(this.member.replica);
  }

  // Called when the group has lost its quorum for good. The new group answers
  // `unknown` for keys whose records may have been lost.
  private async reformGroup(): Promise<void> {
    const lost = this.member;
    this.member = undefined;
    this.stopWatches();
    this.service?.stop();
    await lost?.stop();
    this.machine = new DomainStateMachine();
    const self = this.voters().find(
      each => each.instance === this.options.identity.instanceId,
    );
    // The incarnation must exceed that of the process and of earlier members.
    if (self !== undefined) await this.startMember(self, wallNowMs());
  }

  /** Proposes a lease command; fails if no member is running. */
  proposeLease(command: LeaseCommand): ResultAsync<LeaseResult, GatewayError> {
    const log = this.member?.replica;
    if (log === undefined) return errAsync(notMember(this.options.identity));
    return log
      .propose({area: 'orders', command})
      .map(result => result as LeaseResult);
  }

  /** The lease with this name, as applied by this member so far. */
  lease(name: string): Lease | undefined {
    return this.machine.lease(name);
  }

  private startService(log: DomainLog): void {
    const {identity, client, router, configuration} = this.options;
    this.service = new RecordsService({
      domainId: identity.domainId,
      log: new RecordLog(log),
      machine: this.machine.records,
      rpc: client,
      // A group that is re-formed on emptied disks has lost its records, so keys
      // from before its start are `unknown`. That is rare enough with disks to
      // skip the wait until keys with future timestamps have passed.
      hasDiskMember: false,
      ...(this.hasDiskVoter() ? {generationMarginMs: 0} : {}),
      home: workspaceId => this.homeOf(workspaceId),
      homes: () => this.homes(),
      domainMembers: domainId =>
        recordVoters(configuration()?.configuration, domainId).map(
          each => each.address,
        ),
      retentionMs: () =>
        configuration()?.configuration.policy.recordRetentionMs ?? 0,
    });
    this.service.register(router);
    this.service.start();
  }

  private hasDiskVoter(): boolean {
    const configuration = this.options.configuration()?.configuration;
    return (configuration?.instances ?? []).some(
      each =>
        each.domainId === this.options.identity.domainId &&
        each.recordWeight > 0 &&
        each.hasDisk,
    );
  }

  private homeOf(workspaceId: WorkspaceId): WorkspaceHome | undefined {
    const current = this.options.configuration();
    const workspace = current?.configuration.workspaces.find(
      each => each.workspaceId === workspaceId,
    );
    if (current === undefined || workspace === undefined) return undefined;
    return {homeDomainId: workspace.homeDomainId, version: current.version};
  }

  private homes(): WorkspaceHomes | undefined {
    const current = this.options.configuration();
    if (current === undefined) return undefined;
    const homes = current.configuration.workspaces.map(
      each => [each.workspaceId, each.homeDomainId] as const,
    );
    return {version: current.version, homes: new Map(homes)};
  }

  private voters(): readonly Founder[] {
    return recordVoters(
      this.options.configuration()?.configuration,
      this.options.identity.domainId,
    );
  }
}

function notMember({instanceId}: EntryIdentity): GatewayError {
  return new GatewayError({
    code: 'not_leader',
    message: "this instance has no running member of its domain's record log",
    step: 'records.group',
    peer: instanceId,
  });
}
