/**
 * Keeps the origins of an entry's streams where they outlive it, and finds those
 * of streams that callers take up again here. Each origin is held by the entry
 * itself and by a second one at once, and by a control member soon after, since
 * all entries may end at one moment while callers keep what they have.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {boundedKey} from '../bounded_key.js';
import {BatchLink} from '../dispatch/batch_link.js';
import type {DomainLocation, FleetMembers} from '../fleet/fleet_members.js';
import type {ControlInstance} from '../fleet/messages.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {asId, type AttemptId, type InstanceId} from '../types/ids.js';
import {
  FIND_ORIGIN_METHOD,
  NOTE_ORIGINS_METHOD,
  originReplySchema,
  type OriginBatch,
} from './messages.js';
import {OriginForwarder} from './origin_forwarder.js';
import {registerOriginMethods} from './origin_methods.js';
import {OriginStore, type StreamOrigin} from './origin_store.js';

/** Job name by which the entries that keep a domain's origins are ranked. */
const KEEPER_JOB = 'stream.origins';
/** Entries that keep the origins of a domain. */
const KEEPERS = 2;
/** Several round trips between regions. */
const FIND_TIMEOUT_MS = 400;

export interface OriginRegistryOptions {
  readonly self: InstanceId;
  /** Where this entry is. */
  readonly location: DomainLocation;
  /** All domains of its region. */
  readonly domains: readonly DomainLocation[];
  readonly members: FleetMembers;
  readonly client: RpcClient;
  readonly metrics: MetricsRegistry;
  /** The control member that answers fastest, if any answers. */
  readonly nearestControlMember: () => ControlInstance | undefined;
}

interface KeeperLink {
  readonly address: string;
  readonly link: BatchLink<StreamOrigin>;
}

/** The origins that one entry knows or can find. */
export class OriginRegistry {
  private readonly store = new OriginStore();
  private readonly forwarder: OriginForwarder;
  private readonly links = new Map<string, KeeperLink>();

  constructor(private readonly options: OriginRegistryOptions) {
    this.forwarder = new OriginForwarder(options);
  }

  /** Serves the calls of other entries. */
  register(router: RpcRouter): void {
    registerOriginMethods(router, this.store, ({origins, mustForward}) => {
      if (mustForward) this.forwarder.add(origins);
    });
  }

  stop(): void {
    this.forwarder.stop();
  }

  /** Records what began a stream of this entry. */
  note(noted: StreamOrigin): void {
    const {self, location} = this.options;
    const origin = {...noted, attemptId: keyOf(noted.attemptId)};
    const nowMs = monotonicNowMs();
    this.store.add(origin, nowMs);
    const [first, second] = this.keepersOf(location, nowMs);
    if (first !== undefined && first !== self) {
      this.send(first, true, origin);
      return;
    }
    this.forwarder.add([origin]);
    if (second !== undefined) this.send(second, false, origin);
  }

  /** What began a stream; `undefined` if nobody who answers knows it. */
  async find(askedId: AttemptId): Promise<StreamOrigin | undefined> {
    const attemptId = keyOf(askedId);
    const nowMs = monotonicNowMs();
    const held = this.store.find(attemptId, nowMs);
    if (held !== undefined) return held;
    const answers = this.askedAddresses(nowMs).map(address =>
      this.ask(address, attemptId),
    );
    const origin = await firstDefined(answers);
    if (origin !== undefined) this.store.add(origin, monotonicNowMs());
    return origin;
  }

  private keepersOf(
    location: DomainLocation,
    nowMs: number,
  ): readonly InstanceId[] {
    return this.options.members
      .rankedInDomain(location, KEEPER_JOB, nowMs)
      .slice(0, KEEPERS)
      .map(each => each.instanceId);
  }

  private askedAddresses(nowMs: number): readonly string[] {
    const {self, domains, members} = this.options;
    const entries = domains
      .flatMap(domain => this.keepersOf(domain, nowMs))
      .filter(each => each !== self)
      .flatMap(each => members.entry(each) ?? []);
    const instances = [...entries, ...members.controlMembers()];
    return [...new Set(instances.map(each => each.innerAddress))];
  }

  private async ask(
    address: string,
    attemptId: AttemptId,
  ): Promise<StreamOrigin | undefined> {
    const {client, metrics} = this.options;
    const reply = await client.call<unknown>(
      address,
      FIND_ORIGIN_METHOD,
      {attemptId},
      FIND_TIMEOUT_MS,
    );
    metrics.count('origin_questions', {result: reply.isOk() ? 'ok' : 'lost'});
    if (reply.isErr()) return undefined;
    return originReplySchema.safeParse(reply.value).data?.origin;
  }

  private send(
    instanceId: InstanceId,
    mustForward: boolean,
    origin: StreamOrigin,
  ): void {
    const entry = this.options.members.entry(instanceId);
    if (entry === undefined) return;
    this.linkTo(entry.innerAddress, mustForward).push(origin);
  }

  private linkTo(
    address: string,
    mustForward: boolean,
  ): BatchLink<StreamOrigin> {
    const key = `${address} ${mustForward}`;
    const known = this.links.get(key);
    if (known !== undefined) return known.link;
    const link = new BatchLink<StreamOrigin>({
      client: this.options.client,
      address,
      method: NOTE_ORIGINS_METHOD,
      pack: (origins): OriginBatch => ({origins, mustForward}),
      onReply: () => undefined,
      onFailure: origins => this.forwardLost(origins, mustForward),
    });
    this.links.set(key, {address, link});
    return link;
  }

  // The keeper that should have forwarded them may not have got them.
  private forwardLost(
    origins: readonly StreamOrigin[],
    mustForward: boolean,
  ): void {
    this.options.metrics.count('origins_undelivered', {}, origins.length);
    if (mustForward) this.forwarder.add(origins);
  }
}

/** The first defined result, or `undefined` once all have settled. */
async function firstDefined<Value>(
  results: readonly Promise<Value | undefined>[],
): Promise<Value | undefined> {
  const found = results.map(async result => {
    const value = await result;
    if (value === undefined) throw new Error('no value');
    return value;
  });
  // Rejected only if no result has a value.
  return Promise.any(found).catch(() => undefined);
}

/** Callers choose the ids of their attempts, however long. */
function keyOf(attemptId: AttemptId): AttemptId {
  return asId<AttemptId>(boundedKey(attemptId));
}
