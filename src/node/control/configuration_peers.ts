/**
 * Exchange of configurations between the entries of one domain: fetching a
 * greater version, and keeping one for an instance without a disk.
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
  /** Unknown for the seed addresses of the settings. */
  readonly hasDisk?: boolean;
}

/** The result of `config.fetch`; no body if the caller has the version. */
export interface FetchResult {
  readonly version: ConfigVersion;
  /** `Configuration`, packed. */
  readonly packed?: Packed;
}

/** The result of `config.offer`: the greatest version that the peer keeps. */
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
      // Without a disk the memory of this peer is the copy. Waiting for its
      // own store would let two such peers wait for each other.
      applied.catch(() => undefined);
      const held = holder.latest();
      if (held !== undefined) return {version: held.version};
      throw new GatewayError({
        code: 'internal',
        message: 'an offered configuration was not kept',
        step: 'config.offer',
        peer: options.instanceId,
      });
    },
  );
}

/**
 * Store of an instance without a disk: a version counts as stored once a disk
 * instance of the domain keeps it; if none answers, once any peer does. An
 * instance that is alone in its domain serves from memory.
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
    const isKept = await this.isKeptByAny(versioned, withDisk);
    if (!isKept) await this.isKeptByAny(versioned, diskless);
  }

  // All at once, so that silent peers together cost one timeout.
  private async isKeptByAny(
    versioned: VersionedConfiguration,
    peers: readonly DomainPeer[],
  ): Promise<boolean> {
    if (peers.length === 0) return false;
    const kept = peers.map(async ({address}) => {
      if (await this.isKeptBy(address, versioned)) return true;
      throw new Error(`${address} does not keep version ${versioned.version}`);
    });
    return Promise.any(kept).catch(() => false);
  }

  // The body is sent only to a peer that lacks the version.
  private async isKeptBy(
    address: string,
    versioned: VersionedConfiguration,
  ): Promise<boolean> {
    const {version, configuration} = versioned;
    const known = await this.rpc.call<FetchResult>(
      address,
      'config.fetch',
      {haveVersion: version},
      PEER_TIMEOUT_MS,
    );
    if (known.isErr()) return false;
    if (known.value.version >= version) return true;
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
 * Fetches a greater version from one peer, for example after gossip named it.
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
 * Start of an entry: its own disk, then the greatest version that the domain's
 * members hold or a control member has. Members that do not answer are left
 * out. Resolves with whether a configuration is in force.
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
  const ask = (
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
  const answers = await Promise.all([
    ...peerAddresses.map(address => ask(address, 'config.fetch')),
    ...controlAddresses.map(address => ask(address, 'config.watch')),
  ]);
  const [greatest] = answers
    .filter(answer => answer !== undefined)
    .sort((left, right) => right.version - left.version);
  if (greatest !== undefined) await applyReceived(holder, greatest);
  return holder.current() !== undefined;
}

/** Applies what a peer or control member sent, if it sent a configuration. */
export async function applyReceived(
  holder: ConfigurationHolder,
  received: FetchResult,
): Promise<boolean> {
  const {version, packed} = received;
  // Unpacking is skipped for versions that would not be applied.
  if (packed === undefined || version <= holder.version()) return false;
  const versioned = parseReceived(version, packed);
  if (versioned === undefined) return false;
  // A store that fails is reported by the holder; the version is offered again.
  return holder.apply(versioned).catch(() => false);
}

// A body that is damaged, or of a later program, is as good as none: another
// member may send one that can be read.
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
