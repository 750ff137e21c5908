/**
 * Plays demand that moves between regions on real schedulers: each region has a
 * peak in turn and is nearly idle otherwise. Digests, moved requests and their
 * answers take the time of a link; engines read prompts one after another and
 * decode more slowly the fuller they are.
 */
import {seededRandom} from '../../__tests__/support/random.js';
import {asId, type DomainId, type RegionId} from '../../types/ids.js';
import type {Scheduler} from '../scheduler.js';
import type {Decision, ServiceTraits, WorkItem} from '../types.js';
import {createScheduler, upstream} from './scheduling_fixture.js';

const LINK_MS = 55;
const DIGEST_INTERVAL_MS = 250;
const QUEUE_CHECK_MS = 8;
const PROMPT_TOKENS_PER_MS = 35;
const STEP_MS = 5;
/** Time that one more stream adds to each step. */
const STEP_PER_STREAM_MS = 0.12;

/** A domain, which stands for its region unless others name the same one. */
export interface DomainSetup {
  readonly region: string;
  readonly upstreams: number;
  readonly slots: number;
}

/** A kind of request; `perS` is its rate in a domain at a time. */
export interface Kind {
  readonly name: string;
  readonly create: (id: string) => WorkItem;
  readonly regions: readonly string[];
  readonly perS: (region: string, nowMs: number) => number;
  /** Run time of a plain call. */
  readonly serviceMs?: number;
}

export interface DemandOptions {
  readonly traits: ServiceTraits;
  readonly domains: readonly DomainSetup[];
  readonly kinds: readonly Kind[];
  readonly durationMs: number;
  /** Whether digests and requests pass between two regions. */
  readonly isCut?: (from: string, to: string, nowMs: number) => boolean;
  /** Upstreams of a domain that are lost, as a share, at a time. */
  readonly lostShare?: (region: string, nowMs: number) => number;
}

/** What callers got. */
export interface Outcome {
  readonly kind: string;
  readonly region: string;
  readonly arrivedAtMs: number;
  readonly answeredMs: number | undefined;
  readonly targetMs: number;
  readonly movedTo: string | undefined;
}

interface Domain {
  readonly setup: DomainSetup;
  readonly scheduler: Scheduler;
  readonly busyUntilMs: Map<string, number>;
  readonly running: Map<string, number>;
}

interface Pending {
  readonly kind: Kind;
  readonly from: string;
  readonly arrivedAtMs: number;
  readonly item: WorkItem;
  readonly movedTo: string | undefined;
}

/** Plays the demand and returns the outcome of each request. */
export function playDemand(options: DemandOptions): readonly Outcome[] {
  return new DemandPlay(options).run();
}

/** Share of the outcomes that met their targets. */
export function servedShare(outcomes: readonly Outcome[]): number {
  const served = outcomes.filter(
    each => each.answeredMs !== undefined && each.answeredMs <= each.targetMs,
  );
  return served.length / outcomes.length;
}

class DemandPlay {
  private readonly random = seededRandom(11);
  private readonly domains: readonly Domain[];
  private readonly events = new Map<number, (() => void)[]>();
  private readonly pending = new Map<string, Pending>();
  private readonly outcomes: Outcome[] = [];
  private nowMs = 0;

  constructor(private readonly options: DemandOptions) {
    this.domains = options.domains.map((setup, index) => ({
      setup,
      scheduler: createScheduler(options.traits, {
        region: asId<RegionId>(setup.region),
        domain: asId<DomainId>(`${setup.region}-${index}`),
      }),
      busyUntilMs: new Map(),
      running: new Map(),
    }));
  }

  run(): readonly Outcome[] {
    Array.from({length: this.options.durationMs}, (_, nowMs) => {
      this.nowMs = nowMs;
      if (nowMs % 1_000 === 0) this.domains.forEach(each => this.list(each));
      if (nowMs % DIGEST_INTERVAL_MS === 0) this.sendDigests();
      (this.events.get(nowMs) ?? []).forEach(each => each());
      this.events.delete(nowMs);
      this.domains.forEach(each => this.arrive(each));
      if (nowMs % QUEUE_CHECK_MS > 0) return;
      this.domains.forEach(each =>
        this.follow(each, each.scheduler.decide(nowMs)),
      );
    });
    return this.outcomes;
  }

  private list({setup, scheduler}: Domain): void {
    const {region, upstreams, slots} = setup;
    const lost = this.options.lostShare?.(region, this.nowMs) ?? 0;
    const count = Math.round(upstreams * (1 - lost));
    scheduler.pool.applyReading({
      readAtMs: this.nowMs,
      lagMs: 0,
      upstreams: Array.from({length: count}, (_, index) =>
        upstream(`u${index}`, {slots}),
      ),
    });
  }

  private sendDigests(): void {
    this.domains.forEach(from => {
      const service = asId<WorkItem['service']>('service');
      const digest = from.scheduler.digest(service, this.nowMs);
      this.domains
        .filter(to => to !== from && !this.isCut(from, to))
        .forEach(to =>
          this.after(this.linkMs(from, to), () =>
            to.scheduler.board.record(digest, this.nowMs),
          ),
        );
    });
  }

  private arrive(domain: Domain): void {
    const {region} = domain.setup;
    const siblings = this.domains.filter(each => each.setup.region === region);
    this.options.kinds.forEach(kind => {
      const perMs = kind.perS(region, this.nowMs) / siblings.length / 1_000;
      if (this.random() >= perMs) return;
      const id = `${kind.name}-${this.pending.size}`;
      const others = kind.regions.filter(each => each !== region);
      const item = {
        ...kind.create(id),
        isAllowedHere: kind.regions.includes(region),
        otherRegions: others.map(each => asId<RegionId>(each)),
      };
      const arrivedAtMs = this.nowMs;
      const from = region;
      const movedTo = undefined;
      this.pending.set(id, {kind, from, arrivedAtMs, item, movedTo});
      this.submit(domain, item);
    });
  }

  private submit(domain: Domain, item: WorkItem): void {
    domain.scheduler.submit(item, this.nowMs);
    this.follow(domain, domain.scheduler.takeDecisions());
  }

  private follow(domain: Domain, decisions: readonly Decision[]): void {
    decisions.forEach(decision => {
      const request = this.pending.get(decision.requestId);
      if (request === undefined) return;
      if (decision.kind === 'refuse') this.end(request, undefined);
      if (decision.kind === 'grant') this.start(domain, request, decision);
      if (decision.kind === 'pass') this.pass(domain, request, decision.domain);
      if (decision.kind === 'offload') {
        this.move(domain, request, decision.region);
      }
    });
  }

  private pass(from: Domain, request: Pending, to: DomainId): void {
    const index = Number(to.split('-').at(-1));
    const target = this.domains[index];
    if (target === undefined) return;
    const own = this.domains.indexOf(from);
    const passedDomains = [
      ...request.item.passedDomains,
      asId<DomainId>(`${from.setup.region}-${own}`),
    ];
    this.after(1, () =>
      this.submit(target, this.aged(request, {passedDomains})),
    );
  }

  private move(from: Domain, request: Pending, region: string): void {
    const targets = this.domains.filter(each => each.setup.region === region);
    const target = targets[Math.floor(this.random() * targets.length)];
    if (target === undefined) return;
    if (this.isCut(from, target)) {
      // The relay fails, and the request comes back to its own scheduler.
      const otherRegions = request.item.otherRegions.filter(
        each => each !== region,
      );
      this.after(LINK_MS, () =>
        this.submit(from, this.aged(request, {otherRegions})),
      );
      return;
    }
    const moved = {...request, movedTo: region};
    this.pending.set(request.item.requestId, moved);
    this.after(LINK_MS, () =>
      this.submit(
        target,
        this.aged(moved, {otherRegions: [], isAllowedHere: true}),
      ),
    );
  }

  private aged(request: Pending, fields: Partial<WorkItem>): WorkItem {
    const ageMs = this.nowMs - request.arrivedAtMs;
    const item = {...request.item, ...fields, ageMs};
    this.pending.set(item.requestId, {...request, item});
    return item;
  }

  private start(
    domain: Domain,
    request: Pending,
    {upstreamId}: Extract<Decision, {kind: 'grant'}>,
  ): void {
    const {item, kind} = request;
    const running = (domain.running.get(upstreamId) ?? 0) + 1;
    domain.running.set(upstreamId, running);
    const tokens = item.prompt?.promptTokens ?? 0;
    const readAtMs =
      Math.max(this.nowMs, domain.busyUntilMs.get(upstreamId) ?? 0) +
      tokens / PROMPT_TOKENS_PER_MS;
    if (tokens > 0) domain.busyUntilMs.set(upstreamId, readAtMs);
    const outputTokens = item.prompt?.expectedOutputTokens ?? 0;
    const stepMs = STEP_MS + STEP_PER_STREAM_MS * running;
    const firstAtMs = readAtMs + (kind.serviceMs ?? STEP_MS);
    const backMs = request.movedTo === undefined ? 0 : LINK_MS;
    this.end(request, firstAtMs + backMs - request.arrivedAtMs);
    const endAtMs = firstAtMs + outputTokens * stepMs;
    const startedAtMs = this.nowMs;
    this.after(endAtMs - this.nowMs, () => {
      domain.running.set(upstreamId, (domain.running.get(upstreamId) ?? 1) - 1);
      domain.scheduler.release(
        [
          {
            requestId: item.requestId,
            upstreamId,
            outcome: 'answered',
            firstAnswerMs: firstAtMs - startedAtMs,
            totalMs: endAtMs - startedAtMs,
          },
        ],
        this.nowMs,
      );
    });
  }

  private end(request: Pending, answeredMs: number | undefined): void {
    const {kind, from, arrivedAtMs, item, movedTo} = request;
    this.outcomes.push({
      kind: kind.name,
      region: from,
      arrivedAtMs,
      answeredMs,
      targetMs: item.targetLatencyMs,
      movedTo,
    });
  }

  private isCut(from: Domain, to: Domain): boolean {
    const {isCut} = this.options;
    return isCut?.(from.setup.region, to.setup.region, this.nowMs) === true;
  }

  private linkMs(from: Domain, to: Domain): number {
    return from.setup.region === to.setup.region ? 1 : LINK_MS;
  }

  private after(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.ceil(delayMs));
    this.events.set(atMs, [...(this.events.get(atMs) ?? []), run]);
  }
}
