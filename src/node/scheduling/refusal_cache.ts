/**
 * Caches refusals at an entry, to keep a flood of retries off the scheduler:
 * callers that retry at once would be refused again, and each of their requests
 * takes scheduler time that other requests need.
 */
import type {DomainId, ServiceId} from '../types/ids.js';
import type {RefusalReason, SchedulerAnswer, WorkItem} from './types.js';

/** With a longer time, engines that become free would stay idle. */
const MAX_AGE_MS = 300;
/** Reasons that apply to similar requests as well. */
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

/** The refusals that one entry received, keyed by the kind of request. */
export class RefusalCache {
  private readonly cached = new Map<string, CachedRefusal>();

  /** Caches the answer of a domain's scheduler if it is a cacheable refusal. */
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

  /** Returns an unexpired refusal of a similar request. */
  lookup(item: WorkItem, domain: DomainId, nowMs: number): Refusal | undefined {
    const key = cacheKey(item, domain);
    const known = this.cached.get(key);
    if (known === undefined) return undefined;
    if (known.untilMs <= nowMs) {
      this.cached.delete(key);
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

  /** Drops the refusals of a service in a domain, as after a scheduler move. */
  invalidate(service: ServiceId, domain: DomainId): void {
    [...this.cached.keys()]
      .filter(key => key.startsWith(`${service} ${domain} `))
      .forEach(key => this.cached.delete(key));
  }
}

// Requests with the same key differ by less than half in prompt size, may go to
// the same regions and share the queue with the same workspace.
function cacheKey(item: WorkItem, domain: DomainId): string {
  const {service, priority, targetLatencyMs, prompt, otherRegions} = item;
  const {workspace = ''} = item;
  const tokens = prompt?.promptTokens ?? 0;
  const sizeClass = Math.floor(Math.log2(1 + tokens) * 2);
  return [
    service,
    domain,
    priority,
    workspace,
    targetLatencyMs,
    sizeClass,
    item.isRepeat,
    item.isAllowedHere,
    otherRegions.join(),
    item.begun === undefined ? '' : `begun ${item.begun.softwareVersion}`,
  ].join(' ');
}
