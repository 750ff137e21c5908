/**
 * What an entry remembers of refusals, so that a flood does not reach the
 * scheduler: callers that come back at once would be refused again, and each
 * question costs the scheduler the time in which it decides on others.
 */
import type {DomainId, ServiceId} from '../types/ids.js';
import type {RefusalReason, SchedulerAnswer, WorkItem} from './types.js';

/** A longer absence would leave engines idle that became free meanwhile. */
const MAX_AGE_MS = 300;
/** Reasons that hold for other requests of the kind as well. */
const CACHEABLE: ReadonlySet<RefusalReason> = new Set([
  'overloaded',
  'no_upstream',
]);

type Refusal = Extract<SchedulerAnswer, {kind: 'refuse'}>;

interface CachedRefusal {
  readonly refusal: Refusal;
  readonly atMs: number;
  readonly untilMs: number;
}

/** Refusals of one entry, by kind of request. */
export class RefusalCache {
  private readonly cached = new Map<string, CachedRefusal>();

  /** Notes what the scheduler of a domain decided on a request. */
  add(
    item: WorkItem,
    domain: DomainId,
    answer: SchedulerAnswer,
    nowMs: number,
  ): void {
    if (answer.kind !== 'refuse' || !CACHEABLE.has(answer.reason)) return;
    const closedForMs = Math.min(MAX_AGE_MS, answer.closedForMs);
    if (closedForMs <= 0) return;
    const untilMs = nowMs + closedForMs;
    this.cached.set(cacheKey(item, domain), {
      refusal: answer,
      atMs: nowMs,
      untilMs,
    });
  }

  /** The refusal that still holds for a request like this one. */
  lookup(item: WorkItem, domain: DomainId, nowMs: number): Refusal | undefined {
    const kind = cacheKey(item, domain);
    const known = this.cached.get(kind);
    if (known === undefined) return undefined;
    if (known.untilMs <= nowMs) {
      this.cached.delete(kind);
      return undefined;
    }
    const {refusal, atMs} = known;
    return {
      ...refusal,
      requestId: item.requestId,
      entry: item.entry,
      decisionAgeMs: nowMs - atMs,
    };
  }

  /** Forgets what was decided on a service, as when its scheduler moves. */
  invalidate(service: ServiceId, domain: DomainId): void {
    [...this.cached.keys()]
      .filter(kind => kind.startsWith(`${service} ${domain} `))
      .forEach(kind => this.cached.delete(kind));
  }
}

// Requests of a kind differ at most by half in size, and may go to the same
// regions.
function cacheKey(item: WorkItem, domain: DomainId): string {
  const {service, priority, targetLatencyMs, prompt, otherRegions} = item;
  const tokens = prompt?.promptTokens ?? 0;
  const sizeClass = Math.floor(Math.log2(1 + tokens) * 2);
  return [
    service,
    domain,
    priority,
    targetLatencyMs,
    sizeClass,
    item.isRepeat,
    item.isAllowedHere,
    otherRegions.join(),
  ].join(' ');
}
