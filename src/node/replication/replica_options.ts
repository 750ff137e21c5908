/** Options of a replica and their defaults. */
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import type {GatewayError} from '../types/errors.js';
import type {MemberId} from '../types/ids.js';
import type {ReplicaMember, StateMachine} from './replicated_log.js';
import type {StorageChange} from './storage_writer.js';
import type {ReplicaStorage} from './replica_storage.js';

/** Longest election timeout; the loss of a leader then costs 1 to 2 s. */
export const DEFAULT_ELECTION_MAX_MS = 2000;
const DEFAULT_ELECTION_MIN_MS = 1000;
/** Five heartbeats may be lost before an election starts. */
const DEFAULT_HEARTBEAT_MS = 200;
/** Two heartbeats, and more than three round trips between regions. */
const DEFAULT_REQUEST_TIMEOUT_MS = 400;
const DEFAULT_SNAPSHOT_EVERY_ENTRIES = 1000;
const DEFAULT_KEEP_ENTRIES = 200;
/** Bounds the memory of a log whose entries contain complete responses. */
const DEFAULT_MAX_LOG_CHARS = 4_000_000;
const DEFAULT_KEEP_CHARS = 1_000_000;
const DEFAULT_PROPOSE_TIMEOUT_MS = 5000;
const DEFAULT_MAX_BATCH_ENTRIES = 256;
/** Entries may contain complete responses; this is below usual body limits. */
const DEFAULT_MAX_BATCH_CHARS = 262_144;
const DEFAULT_MAX_IN_FLIGHT = 4;
const DEFAULT_MAX_PENDING = 10_000;
/** Small enough not to delay heartbeats on a shared WAN link. */
const DEFAULT_SNAPSHOT_CHUNK_CHARS = 262_144;

export interface ReplicaOptions<Command, Result> {
  /** `<instance>#<incarnation>`; new after the disk or memory was lost. */
  readonly memberId: MemberId;
  /** Prefix of the RPC methods, such as `records.raft`. */
  readonly methodPrefix: string;
  readonly stateMachine: StateMachine<Command, Result>;
  readonly storage: ReplicaStorage;
  readonly client: RpcClient;
  readonly router: RpcRouter;
  /**
   * How a member without stored state starts: a `voter` forms the group
   * together with the other `initialMembers`; a `learner` waits until a leader
   * contacts it. Only a member that never ran under this identity may start as
   * a `voter`.
   */
  readonly startAs: 'voter' | 'learner';
  /** The founders, the same on each of them. @default [] */
  readonly initialMembers?: readonly ReplicaMember[];
  /** @default 1000 */
  readonly electionMinMs?: number;
  /** @default 2000 */
  readonly electionMaxMs?: number;
  /** @default 200 */
  readonly heartbeatMs?: number;
  /**
   * How long a member waits for a reply. The client opens a new connection
   * only after a call has timed out, so this must be well below
   * `electionMinMs` for stalled connections to be detected in time. Snapshots
   * may take `electionMinMs`. @default 400
   */
  readonly requestTimeoutMs?: number;
  /**
   * The log is compacted after this many entries, or after `maxLogChars`, but
   * not before it has grown by the size of the last snapshot. @default 1000
   */
  readonly snapshotEveryEntries?: number;
  /** Length of the JSON of the entries between snapshots. @default 4000000 */
  readonly maxLogChars?: number;
  /** Entries kept before a snapshot for lagging members. @default 200 */
  readonly keepEntries?: number;
  /** Length of the JSON of those entries. @default 1000000 */
  readonly keepChars?: number;
  /** After this time the outcome of a proposal is unknown. @default 5000 */
  readonly proposeTimeoutMs?: number;
  /** Entries per message. @default 256 */
  readonly maxBatchEntries?: number;
  /** Length of the JSON of the entries per message. @default 262144 */
  readonly maxBatchChars?: number;
  /** Messages with entries in flight to one member. @default 4 */
  readonly maxInFlight?: number;
  /** Pending calls at which new proposals are rejected. @default 10000 */
  readonly maxPendingProposals?: number;
  /** Length of the chunks in which a snapshot is sent. @default 262144 */
  readonly snapshotChunkChars?: number;
  /** Source of election timeouts, in [0, 1). @default Math.random */
  readonly random?: () => number;
  /** Called when the storage refuses or delays writes, and when it recovers. */
  readonly onStorageChange?: (change: StorageChange) => void;
  /** Called once if the member stops because its storage or core failed. */
  readonly onFailure?: (error: GatewayError) => void;
}

export type ResolvedReplicaOptions<Command, Result> = Required<
  ReplicaOptions<Command, Result>
>;

/** Applies the defaults. */
export function resolveReplicaOptions<Command, Result>(
  options: ReplicaOptions<Command, Result>,
): ResolvedReplicaOptions<Command, Result> {
  return {
    initialMembers: [],
    electionMinMs: DEFAULT_ELECTION_MIN_MS,
    electionMaxMs: DEFAULT_ELECTION_MAX_MS,
    heartbeatMs: DEFAULT_HEARTBEAT_MS,
    requestTimeoutMs: DEFAULT_REQUEST_TIMEOUT_MS,
    snapshotEveryEntries: DEFAULT_SNAPSHOT_EVERY_ENTRIES,
    maxLogChars: DEFAULT_MAX_LOG_CHARS,
    keepEntries: DEFAULT_KEEP_ENTRIES,
    keepChars: DEFAULT_KEEP_CHARS,
    proposeTimeoutMs: DEFAULT_PROPOSE_TIMEOUT_MS,
    maxBatchEntries: DEFAULT_MAX_BATCH_ENTRIES,
    maxBatchChars: DEFAULT_MAX_BATCH_CHARS,
    maxInFlight: DEFAULT_MAX_IN_FLIGHT,
    maxPendingProposals: DEFAULT_MAX_PENDING,
    snapshotChunkChars: DEFAULT_SNAPSHOT_CHUNK_CHARS,
    random: Math.random,
    onStorageChange: () => undefined,
    onFailure: () => undefined,
    ...options,
  };
}
