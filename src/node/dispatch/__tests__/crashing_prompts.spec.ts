import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {advanceClock, settle} from '../../__tests__/support/advance_clock.js';
import {monotonicNowMs} from '../../clock/clock.js';
import {
  brief,
  HOME_A,
  HOME_B,
  upstream,
} from '../../scheduling/__tests__/scheduling_fixture.js';
import type {
  ListedUpstream,
  PlacementOutcome,
  PromptPart,
  SchedulerAnswer,
  WorkItem,
} from '../../scheduling/types.js';
import {asId, type DomainId, type UpstreamId} from '../../types/ids.js';
import {MemoryRegion, type RegionEntry} from './support/memory_region.js';

const DOMAINS = [HOME_A, HOME_B];
const ENTRIES_IN_DOMAIN = 2;
const ENGINES_IN_DOMAIN = 8;
const STEP_MS = 50;
const DAY_MS = 25_000;
/** Time between two requests with the part. */
const CRASHING_INTERVAL_MS = 800;
/** Time between two requests without it. */
const SOUND_INTERVAL_MS = 100;
const RUN_MS = 150;
const CRASHES_BEFORE_BOUND = 5;
/** Time after that crash from which further requests are counted. */
const CONTACT_MS = 5_000;
const MAX_SENT_LATER = 3;
const NEVER = new AbortController().signal;

type Grant = Extract<SchedulerAnswer, {kind: 'grant'}>;

interface Sent {
  readonly atMs: number;
  readonly kind: SchedulerAnswer['kind'];
}

function part(partId: string, tokens: number): PromptPart {
  return {partId, tokens};
}

function withParts(item: WorkItem, shared: readonly PromptPart[]): WorkItem {
  const {prompt, requestId} = item;
  if (prompt === undefined) return item;
  const parts = [...shared, part(`${requestId}-own`, 600)];
  return {...item, prompt: {...prompt, promptTokens: 3_000, parts}};
}

const MANUAL = part('manual', 1_200);
const CHAPTER = part('chapter', 600);
const CRASHING = part('crashing', 600);

/** A region whose engines crash under prompts with one part. */
class CrashingRegion {
  readonly crashesAtMs: number[] = [];
  readonly crashing: Sent[] = [];
  readonly sound: Sent[] = [];
  private readonly region: MemoryRegion;
  private upstreams: readonly ListedUpstream[];
  private count = 0;

  constructor(t: TestContext) {
    this.upstreams = DOMAINS.flatMap(domain =>
      Array.from({length: ENGINES_IN_DOMAIN}, (_, index) =>
        upstream(`${domain}-${index}`, {domain}),
      ),
    );
    this.region = new MemoryRegion({
      domains: DOMAINS,
      entriesInDomain: ENTRIES_IN_DOMAIN,
      upstreams: this.upstreams,
    });
    t.after(() => this.region.stop());
  }

  /** A request with the part that crashes engines; no two are alike. */
  sendCrashing(): Promise<void> {
    const item = withParts(this.nextBrief(), [MANUAL, CHAPTER, CRASHING]);
    return this.sendAndCrash(item);
  }

  /** A copy of one request that crashes engines; its parts are sound. */
  sendCopy(): Promise<void> {
    const item = withParts(this.nextBrief(), [MANUAL, CHAPTER]);
    return this.sendAndCrash({...item, fingerprint: 'copy'});
  }

  private async sendAndCrash(item: WorkItem): Promise<void> {
    const answer = await this.send(item, this.crashing);
    if (answer.kind !== 'grant') return;
    setTimeout(() => this.crash(answer), RUN_MS);
  }

  /** A request that shares all parts but one with those that crash engines. */
  async sendSound(): Promise<void> {
    const item = withParts(this.nextBrief(), [MANUAL, CHAPTER]);
    const answer = await this.send(item, this.sound);
    if (answer.kind !== 'grant') return;
    setTimeout(() => {
      const isUp = this.isListed(answer.upstreamId);
      this.release(answer, isUp ? 'answered' : 'broken');
    }, RUN_MS);
  }

  private nextBrief(): WorkItem {
    this.count += 1;
    return brief(`b${this.count}`);
  }

  private async send(item: WorkItem, sent: Sent[]): Promise<SchedulerAnswer> {
    const {entries} = this.region;
    const entry = entries[this.count % entries.length] as RegionEntry;
    const {instanceId} = entry.instance;
    const answer = await entry.client.acquire(
      {...item, entry: instanceId},
      NEVER,
    );
    sent.push({atMs: monotonicNowMs(), kind: answer.kind});
    return answer;
  }

  private isListed(upstreamId: UpstreamId): boolean {
    return this.upstreams.some(each => each.upstreamId === upstreamId);
  }

  private crash(grant: Grant): void {
    const {upstreamId, domain, address, service} = grant;
    if (this.isListed(upstreamId)) {
      this.crashesAtMs.push(monotonicNowMs());
      this.upstreams = this.upstreams.map(each =>
        each.upstreamId === upstreamId ? successorOf(each, domain) : each,
      );
    }
    this.release(grant, 'broken');
    setTimeout(() => {
      this.region.entries.forEach(({host}) => {
        host.noteProbeFailure({service, domain, upstreamId, address}, true);
        host.applyReading({
          readAtMs: monotonicNowMs(),
          lagMs: 0,
          upstreams: this.upstreams,
        });
      });
    }, STEP_MS);
  }

  private release(grant: Grant, outcome: PlacementOutcome): void {
    const {requestId, upstreamId} = grant;
    this.region.entries.forEach(({client}) =>
      client.release({
        requestId,
        upstreamId,
        outcome,
        firstAnswerMs: outcome === 'answered' ? RUN_MS : 0,
        totalMs: RUN_MS,
      }),
    );
  }
}

function successorOf(ended: ListedUpstream, domain: DomainId): ListedUpstream {
  const name = `${ended.upstreamId}+`;
  return upstream(name, {domain, upstreamId: asId<UpstreamId>(name)});
}

async function playDay(
  t: TestContext,
  sendCrashing: (region: CrashingRegion) => Promise<void>,
): Promise<CrashingRegion> {
  pauseClock(t);
  const region = new CrashingRegion(t);
  const steps = Array.from({length: DAY_MS / STEP_MS}, (_, step) => step);
  await steps.reduce<Promise<void>>(async before => {
    await before;
    const atMs = monotonicNowMs();
    if (atMs % CRASHING_INTERVAL_MS === 0) void sendCrashing(region);
    if (atMs % SOUND_INTERVAL_MS === 0) void region.sendSound();
    await settle(t);
    await advanceClock(t, STEP_MS, STEP_MS / 2);
  }, Promise.resolve());
  return region;
}

/** Checks that few requests that crash engines are sent, and all sound ones. */
function checkSent({crashesAtMs, crashing, sound}: CrashingRegion): void {
  assert.ok(crashesAtMs.length > 0, 'engines crash');
  const boundAtMs =
    (crashesAtMs[CRASHES_BEFORE_BOUND - 1] ?? Number.POSITIVE_INFINITY) +
    CONTACT_MS;
  const sentLater = crashing.filter(
    ({atMs, kind}) => kind === 'grant' && atMs > boundAtMs,
  );
  assert.ok(
    sentLater.length <= MAX_SENT_LATER,
    `${sentLater.length} requests sent later than allowed, ` +
      `${crashesAtMs.length} crashes`,
  );
  const soundLater = sound.filter(({atMs}) => atMs > boundAtMs);
  assert.ok(
    soundLater.every(({kind}) => kind === 'grant'),
    'sound requests are served',
  );
  assert.ok(
    crashing.some(({kind}) => kind === 'refuse'),
    'requests that crash engines are refused',
  );
}

// Guards against engines that crash one after another under requests that have
// one prompt part in common but are no copies of each other.
test('a prompt part that crashes engines is kept from them', async t => {
  checkSent(await playDay(t, region => region.sendCrashing()));
});

// Guards against engines that crash one after another because a caller sends
// the same request again, and against a refusal of all with its prompt parts.
test('a request that crashes engines and comes again is kept from them', async t => {
  checkSent(await playDay(t, region => region.sendCopy()));
});
