/**
 * Exchange of configurations between the entries of one domain: an entry
 * fetches newer versions from peers, and stores a copy for diskless peers.
 */
import {z} from 'zod';
import type {VersionedConfiguration} from '../config/configuration.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import {asNumber, type ConfigVersion, type InstanceId} from '../types/ids.js';
import type {ConfigurationHolder} from './configuration_holder.js';
import {
  ConfigurationStore,
  versionedConfigurationSchema,
} from './configuration_store.js';
import {PEER_TIMEOUT_MS} from './constants.js';
import {versionSchema, type WatchResult} from './methods.js';
import {pack, packedSchema, unpack, type Packed} from './packing.js';

/** Another entry of the same domain. */
export interface DomainPeer {
  /** Inner address. */
  readonly address: string;
  /** Absent for seed addresses from the settings. */
  readonly hasDisk?: boolean;
}

/** The result of `config.fetch`; `packed` only if newer than `haveVersion`. */
export interface FetchResult {
  readonly version: ConfigVersion;
  /** `Configuration`, packed. */
  readonly packed?: Packed;
}

/** The result of `config.offer`: the latest version that the peer has. */
export interface OfferResult {
  readonly version: ConfigVersion;
}

const fetchParamsSchema = z.strictObject({haveVersion: versionSchema});
const offerParamsSchema = z.strictObject({
  version: versionSchema,
  packed: packedSchema,
});

/** Registers `config.fetch` and `config.offer` on an entry. */
export function registerConfigurationPeer(
  router: RpcRouter,
  holder: ConfigurationHolder,
  options: {readonly instanceId: InstanceId; readonly hasDisk: boolean},
): void {
  router.register(
    'config.fetch',
    fetchParamsSchema,
    ({haveVersion}): FetchResult => {
      const held = holder.latest();
      if (held === undefined || held.version <= haveVersion) {
        return {version: held?.version ?? asNumber<ConfigVersion>(0)};
      }
      return {version: held.version, packed: pack(held.configuration)};
    },
  );
  router.register(
    'config.offer',
    offerParamsSchema,
    async ({version, packed}): Promise<OfferResult> => {
      const versioned = versionedConfigurationSchema.parse({
        version,
        configuration: unpack(packed),
      });
      const applied = holder.apply(versioned);
      if (options.hasDisk) {
        await applied;
        return {version: holder.version()};
      }
      // On a diskless peer the copy in memory is sufficient. Waiting for its
      // own store would deadlock two diskless peers that store on each other.
      applied.catch(() => undefined);
      const held = holder.latest();
      if (held !== undefined) return {version: held.version};
      throw new GatewayError({
        code: 'internal',
        message: 'an offered configuration was not stored',
        step: 'config.offer',
        peer: options.instanceId,
      });
    },
  );
}

/**
 * Store of a diskless instance: a version counts as stored once an instance of
 * the domain with a disk has it or, if none of these responds, once any peer
 * has it. An instance without reachable peers keeps the version in memory only.
 */
export class PeerConfigurationStore extends ConfigurationStore {
  constructor(
    private readonly rpc: RpcClient,
    private readonly peers: () => readonly DomainPeer[],
  ) {
    super();
  }

  override load(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override async store(versioned: VersionedConfiguration): Promise<void> {
    const peers = this.peers();
    const withDisk = peers.filter(({hasDisk}) => hasDisk !== false);
    const diskless = peers.filter(({hasDisk}) => hasDisk === false);
    const isStored = await this.replicateToAny(versioned, withDisk);
    if (!isStored) await this.replicateToAny(versioned, diskless);
  }

  // Asks all peers in parallel, so that unresponsive peers cost one timeout.
  private async replicateToAny(
    versioned: VersionedConfiguration,
    peers: readonly DomainPeer[],
  ): Promise<boolean> {
    if (peers.length === 0) return false;
    const attempts = peers.map(async ({address}) => {
      if (await this.replicateTo(address, versioned)) return true;
      throw new Error(`${address} did not store version ${versioned.version}`);
    });
    return Promise.any(attempts).catch(() => false);
  }

  // Sends the body only to a peer that does not have the version.
  private async replicateTo(
    address: string,
    versioned: VersionedConfiguration,
  ): Promise<boolean> {
    const {version, configuration} = versioned;
    const current = await this.rpc.call<FetchResult>(
      address,
      'config.fetch',
      {haveVersion: version},
      PEER_TIMEOUT_MS,
    );
    if (current.isErr()) return false;
    if (current.value.version >= version) return true;
    const offered = await this.rpc.call<OfferResult>(
      address,
      'config.offer',
      {version, packed: pack(configuration)},
      PEER_TIMEOUT_MS,
    );
    return offered.isOk() && offered.value.version >= version;
  }
}

/**
 * Fetches a newer version from one peer, for example after gossip announced it.
 * Resolves with whether a version came into force.
 */
export async function fetchFromPeer(
  rpc: RpcClient,
  holder: ConfigurationHolder,
  address: string,
): Promise<boolean> {
  const fetched = await rpc.call<FetchResult>(
    address,
    'config.fetch',
    {haveVersion: holder.version()},
    PEER_TIMEOUT_MS,
  );
  return fetched.isOk() ? applyReceived(holder, fetched.value) : false;
}

/**
 * Loads the configuration when an entry starts: from its own disk, then the
 * latest version that a peer of the domain or a control member returns. Peers
 * and members that do not respond are skipped. Resolves with whether a
 * configuration is in force.
 */
export async function loadInitialConfiguration(options: {
  readonly rpc: RpcClient;
  readonly holder: ConfigurationHolder;
  readonly peerAddresses: readonly string[];
  readonly controlAddresses: readonly string[];
}): Promise<boolean> {
  const {rpc, holder, peerAddresses, controlAddresses} = options;
  await holder.load();
  const haveVersion = holder.version();
  const request = (
    address: string,
    method: string,
  ): Promise<FetchResult | WatchResult | undefined> =>
    rpc
      .call<FetchResult | WatchResult>(
        address,
        method,
        {haveVersion},
        PEER_TIMEOUT_MS,
      )
      .unwrapOr(undefined as never);
  const responses = await Promise.all([
    ...peerAddresses.map(address => request(address, 'config.fetch')),
    ...controlAddresses.map(address => request(address, 'config.watch')),
  ]);
  const [latest] = responses
    .filter(response => response !== undefined)
    .sort((left, right) => right.version - left.version);
  if (latest !== undefined) await applyReceived(holder, latest);
  return holder.current() !== undefined;
}

/** Applies the configuration in a response, if there is one and it is newer. */
export async function applyReceived(
  holder: ConfigurationHolder,
  received: FetchResult,
): Promise<boolean> {
  const {version, packed} = received;
  // Skips unpacking for versions that would not be applied.
  if (packed === undefined || version <= holder.version()) return false;
  const versioned = parseReceived(version, packed);
  if (versioned === undefined) return false;
  // The holder reports a failed store; the version will be received again.
  return holder.apply(versioned).catch(() => false);
}

// Ignores a body that is corrupt or was written by a later version of this
// program; another member may send a readable one.
function parseReceived(
  version: ConfigVersion,
  packed: Packed,
): VersionedConfiguration | undefined {
  try {
    const configuration = unpack(packed);
    return versionedConfigurationSchema.parse({version, configuration});
  } catch {
    return undefined;
  }
}
