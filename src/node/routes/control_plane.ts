/**
 * A control member: holds the replicated route table, answers the announcements
 * of entries, keeps the origins of their streams, and executes the operators'
 * changes and reads.
 */
import {ok, okAsync, type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {pack, type Packed} from '../control/packing.js';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {
  ANNOUNCE_METHOD,
  announcementSchema,
  FETCH_STATE_METHOD,
  type Announcement,
  type AnnouncementReply,
  type ControlInstance,
} from '../fleet/messages.js';
import {
  InstanceRegistry,
  type CallerLocation,
} from '../fleet/instance_registry.js';
import type {Logger} from '../logging/logger.js';
import {DEFAULT_TOLERANCE, type QuotaTolerance} from '../quotas/limits.js';
import {registerOriginMethods} from '../origins/origin_methods.js';
import {OriginStore} from '../origins/origin_store.js';
import {createForwarder} from '../replication/forwarding.js';
import {
  createGroupMember,
  type GroupMember,
} from '../replication/group_member.js';
import type {ReplicaStorage} from '../replication/replica_storage.js';
import {instanceOf} from '../replication/peer_transport.js';
import type {StorageChange} from '../replication/storage_writer.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import type {GatewayError} from '../types/errors.js';
import {asId, type InstanceId} from '../types/ids.js';
import {
  EvacuationOrders,
  type OrderResult,
  type WaitingOperator,
} from './evacuation_orders.js';
import {MembershipManager} from './membership_manager.js';
import {OrderProposer} from './order_proposer.js';
import {QuotaControl} from './quota_control.js';
import {
  EMPTY_CONTROL_STATE,
  homesOf,
  summaryOf,
  type ControlState,
  type RouteTable,
} from './route_table.js';
import {
  RouteTableMachine,
  type ControlChange,
  type ControlChangeResult,
  type EvacuationOrder,
} from './route_table_machine.js';
import {SourceSeal} from './source_seal.js';

const METHOD_PREFIX = 'routes.raft';
const MEMBER_WEIGHT = 1;
const DEFAULT_TOLERATED_LOSSES = 1;
const EXPIRY_CHECK_INTERVAL_MS = 250;
/** Low because each log entry may hold a whole route table. */
const SNAPSHOT_EVERY_ENTRIES = 64;
const KEEP_ENTRIES = 16;
/**
 * Covers several heartbeats between regions, but is kept short because callers
 * wait while there is no leader.
 */
const ELECTION_MIN_MS = 500;
const ELECTION_MAX_MS = 900;
/** Callers of the operators' interface wait little longer than one second. */
const PROPOSE_TIMEOUT_MS = 2_500;

export interface ControlPlaneOptions {
  readonly instanceId: InstanceId;
  /** Address advertised to other instances, `host:port`. */
  readonly innerAddress: string;
  /** Inner addresses of the initial members; identical on all of them. */
  readonly founderAddresses: readonly string[];
  /** Whether a new group may be formed: the first start of the whole system. */
  readonly mayFound: boolean;
  /**
   * Inner addresses of members that may know the group, as the settings name
   * them now. @default `founderAddresses`
   */
  readonly seedAddresses?: () => readonly string[];
  /** Members that may be lost at the same time. @default 1 */
  readonly toleratedLosses?: number;
  /** Shared by all instances; seals configurations that hold keys of callers. */
  readonly clusterSecret: string;
  /** By how much quotas may be exceeded. @default `DEFAULT_TOLERANCE` */
  readonly quotaTolerance?: QuotaTolerance;
  readonly storage: ReplicaStorage;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  readonly logger: Logger;
  /** Called when the log cannot continue, for example on a disk write error. */
  readonly onFailure: (error: GatewayError) => void;
}

/** One running control member. */
export class ControlPlane {
  private readonly machine: RouteTableMachine;
  private readonly seal: SourceSeal;
  private readonly registry: InstanceRegistry;
  private readonly abortController = new AbortController();
  private member: GroupMember<ControlChange, ControlChangeResult> | undefined;
  private forwardChange:
    | ((
        change: ControlChange,
      ) => ResultAsync<ControlChangeResult, GatewayError>)
    | undefined;
  private evacuationOrders: EvacuationOrders | undefined;
  private membership: MembershipManager | undefined;
  private isWritable = true;
  private readonly quotas: QuotaControl;
  private expiryTimer: ReturnType<typeof setInterval> | undefined;
  private stateForEntries: ControlState = EMPTY_CONTROL_STATE;
  private packedForEntries: Packed = pack(EMPTY_CONTROL_STATE);

  constructor(private readonly options: ControlPlaneOptions) {
    const {logger, router} = options;
    this.seal = new SourceSeal(options.clusterSecret);
    this.machine = new RouteTableMachine(state =>
      this.handleStateChange(state),
    );
    this.quotas = new QuotaControl(
      options.quotaTolerance ?? DEFAULT_TOLERANCE,
      () => this.machine.state,
      router,
    );
    this.registry = new InstanceRegistry(String(wallNowMs()), change =>
      logger.info(
        {
          event: `entry_${change.kind}`,
          peer: change.entry.instanceId,
          incarnation: change.entry.incarnation,
          isReady: change.entry.isReady,
          isStopping: change.entry.isStopping,
          silentMs: Math.round(change.silentMs),
        },
        'entry membership changed',
      ),
    );
    router.register(ANNOUNCE_METHOD, announcementSchema, announcement =>
      this.answerAnnouncement(announcement),
    );
    registerOriginMethods(router, new OriginStore());
    router.register(
      FETCH_STATE_METHOD,
      z.object({}),
      () => this.packedForEntries,
    );
  }

  /** Forms or joins the group; resolves when the member is running. */
  async start(): Promise<void> {
    const {options} = this;
    this.expiryTimer = setInterval(
      () => this.registry.expire(monotonicNowMs()),
      EXPIRY_CHECK_INTERVAL_MS,
    );
    const founders = options.founderAddresses
      .map(address => ({
        instance: asId<InstanceId>(address.slice(0, address.lastIndexOf(':'))),
        address,
        weight: MEMBER_WEIGHT,
      }))
      .filter(each => options.mayFound || each.address !== options.innerAddress)
      .sort((left, right) => (left.address < right.address ? -1 : 1));
    this.member = await createGroupMember<ControlChange, ControlChangeResult>({
      instance: options.instanceId,
      address: options.innerAddress,
      founders: options.mayFound
        ? founders
        : [placeholderFounder(), ...founders],
      contacts: () => this.seedAddresses(),
      weight: MEMBER_WEIGHT,
      methodPrefix: METHOD_PREFIX,
      stateMachine: this.machine,
      storage: options.storage,
      client: options.client,
      router: options.router,
      signal: this.abortController.signal,
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      keepEntries: KEEP_ENTRIES,
      proposeTimeoutMs: PROPOSE_TIMEOUT_MS,
      electionMinMs: ELECTION_MIN_MS,
      electionMaxMs: ELECTION_MAX_MS,
      onStorageChange: change => this.noteStorage(change),
      onFailure: options.onFailure,
    });
    this.startServices(this.member);
  }

  /** Transfers leadership, leaves a group with other voters, closes the log. */
  async stop(): Promise<void> {
    clearInterval(this.expiryTimer);
    this.quotas.stop();
    this.abortController.abort();
    await this.member?.replica.transferLeadership();
    await this.membership?.leave();
    await this.member?.stop();
  }

  /** Replaces the route table unless the current version is equal or higher. */
  replaceTable(
    table: RouteTable,
  ): ResultAsync<ControlChangeResult, GatewayError> | undefined {
    const {version} = table;
    return this.forwardChange?.({
      kind: 'replace_table',
      version,
      table: pack(this.seal.sealed(table)),
    });
  }

  /** Starts or ends the evacuation of a domain while the operator waits. */
  setEvacuation(
    order: EvacuationOrder,
    operator: WaitingOperator,
  ): Promise<Result<OrderResult, GatewayError>> | undefined {
    return this.evacuationOrders?.carryOut(order, operator);
  }

  /** Whether this member leads the group, as far as it knows. */
  isLeader(): boolean {
    return this.member?.replica.status().role === 'leader';
  }

  /** Whether the disk takes writes; without that this member cannot lead. */
  isDiskWritable(): boolean {
    return this.isWritable;
  }

  /** The latest committed state, or an error if that cannot be confirmed. */
  readState(): ResultAsync<ControlState, GatewayError> | undefined {
    return this.member?.replica
      .readBarrier()
      .andThen(() => okAsync(this.machine.state));
  }

  /** The text of the latest committed table; `undefined` without a table. */
  readSource(): ResultAsync<string | undefined, GatewayError> | undefined {
    return this.readState()?.andThen(({table}) =>
      table === undefined ? ok(undefined) : this.seal.open(table),
    );
  }

  /** The table version applied on this member; may lag behind the leader. */
  appliedVersion(): number {
    return this.machine.state.table?.version ?? 0;
  }

  /** Addresses of entries suitable for a caller at this location. */
  addressesFor(
    place: CallerLocation,
    host: string,
    limit: number,
  ): readonly string[] {
    const {table} = this.machine.state;
    const homes = table && homesOf(table, host);
    return this.registry.addressesFor(place, limit, homes);
  }

  private startServices(
    member: GroupMember<ControlChange, ControlChangeResult>,
  ): void {
    const {client, router, logger, innerAddress, toleratedLosses} =
      this.options;
    const log = member.replica;
    const proposer = new OrderProposer({
      log,
      history: this.machine.history,
      logger,
    });
    const forwardChange = createForwarder({
      log,
      propose: change => proposer.propose(change),
      methodPrefix: METHOD_PREFIX,
      client,
      router,
      commandSchema: z.custom<ControlChange>(
        value => typeof value === 'object' && value !== null,
      ),
      timeoutMs: PROPOSE_TIMEOUT_MS,
    });
    this.forwardChange = forwardChange;
    this.evacuationOrders = new EvacuationOrders({
      appliedIndex: () => log.status().appliedIndex,
      catchUp: () => log.readBarrier(),
      propose: order => forwardChange(order),
      timeoutMs: PROPOSE_TIMEOUT_MS,
    });
    this.membership = new MembershipManager({
      log,
      client,
      router,
      logger,
      self: {
        memberId: log.status().memberId,
        address: innerAddress,
        weight: MEMBER_WEIGHT,
      },
      methodPrefix: METHOD_PREFIX,
      toleratedLosses: toleratedLosses ?? DEFAULT_TOLERATED_LOSSES,
      seedAddresses: () => this.seedAddresses(),
    });
    this.membership.start();
    this.quotas.start(log);
  }

  private noteStorage({isWritable, cause}: StorageChange): void {
    this.isWritable = isWritable;
    const {logger} = this.options;
    if (isWritable) {
      logger.info({event: 'disk_regained'}, 'the disk takes writes again');
      return;
    }
    logger.error(
      {event: 'disk_refused', err: cause},
      'the disk refuses or delays writes; this member does not lead or vote',
    );
  }

  private seedAddresses(): readonly string[] {
    const {seedAddresses, founderAddresses, innerAddress} = this.options;
    return (seedAddresses?.() ?? founderAddresses).filter(
      address => address !== innerAddress,
    );
  }

  private answerAnnouncement(announcement: Announcement): AnnouncementReply {
    const {entry} = announcement;
    this.registry.record(entry, monotonicNowMs());
    return {
      revision: this.stateForEntries.revision,
      incarnation: this.registry.incarnationOf(entry.instanceId),
      ...this.registry.viewUpdate(announcement, this.controlMembers()),
      ...this.quotas.answer(announcement),
    };
  }

  private controlMembers(): readonly ControlInstance[] {
    const {instanceId, innerAddress} = this.options;
    const others = (this.member?.replica.status().members ?? [])
      .map(each => ({
        instanceId: instanceOf(each.memberId),
        innerAddress: each.address,
      }))
      .filter(each => each.instanceId !== instanceId);
    return [{instanceId, innerAddress}, ...others];
  }

  // Drops the operator's source text, which entries do not need.
  private handleStateChange(state: ControlState): void {
    const {table} = state;
    this.stateForEntries = {
      ...state,
      table: table === undefined ? undefined : {...table, source: ''},
    };
    this.packedForEntries = pack(this.stateForEntries);
    this.quotas.noteState();
    this.options.logger.info(
      {event: 'state_applied', ...summaryOf(state)},
      'applied a committed control state',
    );
  }
}

// Only the first founder in the list forms a group. Putting a member that does
// not exist first makes a member that may not form a group wait for an existing
// one.
function placeholderFounder(): {
  instance: InstanceId;
  address: string;
  weight: number;
} {
  return {
    instance: asId<InstanceId>('none'),
    address: '127.0.0.1:9',
    weight: 0,
  };
}
