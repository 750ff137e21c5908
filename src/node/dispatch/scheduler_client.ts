/**
 * Client of the schedulers: submits requests to the entry that schedules their
 * service in a domain, resubmits them to another domain if they are passed on,
 * and falls back to the next entry if there is no answer.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {EntryInstance} from '../fleet/messages.js';
import type {Logger} from '../logging/logger.js';
import type {RpcClient} from '../rpc/rpc.js';
import {RefusalCache} from '../scheduling/refusal_cache.js';
import type {
  Decision,
  NamedLimits,
  Release,
  RunningPlacement,
  SchedulerAnswer,
  WorkItem,
} from '../scheduling/types.js';
import type {GatewayError} from '../types/errors.js';
import type {DomainId, InstanceId, RegionId, RequestId} from '../types/ids.js';
import {BatchLink} from './batch_link.js';
import {localRefusal} from './local_decisions.js';
import {cancelledPlacements} from './decision_sender.js';
import type {DomainChoice} from './domain_choice.js';
import {saysMore, type UpstreamLimits} from './upstream_limits.js';
import {
  SUBMIT_METHOD,
  type PlacementReport,
  type SchedulerScope,
  type SubmissionPart,
  type SubmissionReply,
} from './messages.js';

/** Wait for a decision beyond the target latency before resubmitting. */
const DECISION_GRACE_MS = 500;
const MAX_SUBMISSIONS = 3;
/** Approximate time that an overloaded scheduler needs to catch up. */
const BUSY_RETRY_AFTER_MS = 1_000;
/** Timeouts within this time are one failure of a shared connection. */
const SAME_FAILURE_MS = 100;
/** A new connection shows within this time whether its peer answers. */
const FRESH_CONNECTION_MS = 3_000;
/** Streams last seconds, so their releases can wait to share a call. */
const STREAM_RELEASE_DELAY_MS = 80;

export interface SchedulerClientOptions {
  readonly region: RegionId;
  readonly self: InstanceId;
  readonly domains: DomainChoice;
  readonly members: FleetMembers;
  readonly client: RpcClient;
  readonly logger: Logger;
  /** The limits that upstreams have named to this entry. */
  readonly limits: UpstreamLimits;
  /** Submits parts to the schedulers on this entry. */
  readonly submitHere: (parts: readonly SubmissionPart[]) => void;
}

type Grant = Extract<Decision, {kind: 'grant'}>;

interface Pending {
  /** The request as it was on `acquire`. */
  readonly item: WorkItem;
  /** The domain to whose scheduler it is submitted. */
  domain: DomainId;
  readonly passedDomains: DomainId[];
  readonly submittedAtMs: number;
  readonly resolve: (answer: SchedulerAnswer) => void;
  scheduler: InstanceId;
  submissions: number;
  timer: ReturnType<typeof setTimeout>;
}

interface Running extends RunningPlacement {
  readonly domain: DomainId;
  readonly scheduler: InstanceId;
}

interface LastScheduler {
  readonly scope: SchedulerScope;
  readonly instanceId: InstanceId;
}

interface PeerLink {
  readonly address: string;
  readonly link: BatchLink<SubmissionPart>;
}

/** Acquires and releases upstreams for the requests of this entry. */
export class SchedulerClient {
  private readonly pending = new Map<RequestId, Pending>();
  private readonly running = new Map<RequestId, Running>();
  private readonly refusals = new RefusalCache();
  private readonly links = new Map<InstanceId, PeerLink>();
  /** Incarnation of each scheduler that has this entry's placements. */
  private readonly syncedWith = new Map<InstanceId, number>();
  /** When calls on a connection to a scheduler last began to time out. */
  private readonly connectionFailedAtMs = new Map<InstanceId, number>();
  private readonly lastSchedulers = new Map<string, LastScheduler>();

  constructor(private readonly options: SchedulerClientOptions) {}

  /** Resolves with the decision on a request; it never rejects. */
  acquire(item: WorkItem, signal: AbortSignal): Promise<SchedulerAnswer> {
    const domain = this.options.domains.first(item);
    const refusal = this.earlyRefusal(item, domain);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise(resolve => {
      const pending: Pending = {
        item,
        domain,
        passedDomains: [],
        resolve,
        submittedAtMs: monotonicNowMs(),
        scheduler: this.options.self,
        submissions: 0,
        timer: setTimeout(
          () => this.resubmit(item.requestId, 'no decision in time'),
          Math.max(0, item.targetLatencyMs - item.ageMs) + DECISION_GRACE_MS,
        ),
      };
      this.pending.set(item.requestId, pending);
      signal.addEventListener('abort', () => this.cancel(item.requestId), {
        once: true,
      });
      this.submit(pending);
    });
  }

  /** A refusal that needs no call to the scheduler, if one applies. */
  private earlyRefusal(
    item: WorkItem,
    domain: DomainId,
  ): SchedulerAnswer | undefined {
    const nowMs = monotonicNowMs();
    const remembered = this.refusals.lookup(item, domain, nowMs);
    if (remembered !== undefined) return remembered;
    const scheduler = this.schedulerOf({service: item.service, domain});
    const oldestMs =
      this.links.get(scheduler)?.link.oldestCallAgeMs(nowMs) ?? 0;
    // Answers come in order, so this request would wait at least as long.
    const willMissTarget = item.ageMs + oldestMs > item.targetLatencyMs;
    return willMissTarget
      ? localRefusal(
          {item, scheduler, passedDomains: []},
          'unscheduled',
          BUSY_RETRY_AFTER_MS,
        )
      : undefined;
  }

  /** Releases a granted placement. */
  release(release: Release): void {
    const running = this.running.get(release.requestId);
    if (running === undefined) return;
    this.running.delete(release.requestId);
    const {domain, item} = running;
    const {service, prompt} = item;
    const isKnown = this.options.members
      .liveEntries(this.options.region, monotonicNowMs())
      .some(entry => entry.instanceId === running.scheduler);
    const target = isKnown
      ? running.scheduler
      : this.schedulerOf({service, domain});
    // A failure may be the first sign of a lost upstream, and a cancelled request
    // may be submitted again, which its release must precede.
    const canWait = prompt !== undefined && release.outcome === 'answered';
    const delayMs = canWait ? STREAM_RELEASE_DELAY_MS : 0;
    this.send(target, {kind: 'release', service, domain, release}, delayMs);
  }

  /** Reports how a granted request fares at its upstream. */
  report(kind: PlacementReport, grant: Grant): void {
    const {service, domain, upstreamId, requestId} = grant;
    const target = this.schedulerOf(grant);
    this.send(target, {kind, service, domain, upstreamId, requestId});
  }

  /**
   * Reports the limits that an upstream names in its answer, unless its
   * scheduler knew them already when it granted the request.
   */
  reportLimits(grant: Grant, limits: NamedLimits): void {
    if (!saysMore(limits, grant)) return;
    const {service, domain, upstreamId, requestId} = grant;
    this.send(this.schedulerOf(grant), {
      kind: 'limits',
      service,
      domain,
      upstreamId,
      requestId,
      limits,
    });
  }

  /** Handles decisions received from a scheduler. */
  deliver(from: InstanceId, decisions: readonly Decision[]): void {
    decisions.forEach(decision => this.applyDecision(from, decision));
  }

  private applyDecision(from: InstanceId, decision: Decision): void {
    const pending = this.pending.get(decision.requestId);
    if (pending === undefined || pending.scheduler !== from) {
      this.returnGrant(from, decision);
      return;
    }
    if (decision.kind === 'pass') {
      this.followPass(pending, decision.domain);
      return;
    }
    this.removePending(decision.requestId);
    const {item, domain, passedDomains} = pending;
    if (decision.kind === 'grant') {
      this.running.set(decision.requestId, {
        item,
        domain,
        upstreamId: decision.upstreamId,
        scheduler: from,
      });
    }
    const passes = passedDomains.length;
    const answer: SchedulerAnswer = {...decision, scheduler: from, passes};
    this.refusals.add(item, domain, answer, monotonicNowMs());
    pending.resolve(answer);
  }

  // Cancels a grant that is no longer needed: the request was resubmitted
  // elsewhere or its caller left.
  private returnGrant(from: InstanceId, decision: Decision): void {
    cancelledPlacements([decision]).forEach(({part}) => this.send(from, part));
  }

  private followPass(pending: Pending, domain: DomainId): void {
    pending.passedDomains.push(pending.domain);
    pending.domain = domain;
    this.submit(pending);
  }

  private submit(pending: Pending): void {
    const {domain, passedDomains, item} = pending;
    const scope = {service: item.service, domain};
    const target = this.schedulerOf(scope);
    pending.scheduler = target;
    pending.submissions += 1;
    this.syncIfMoved(scope, target);
    const waitedMs = monotonicNowMs() - pending.submittedAtMs;
    const current: WorkItem = {
      ...item,
      ageMs: item.ageMs + waitedMs,
      remainingMs: item.remainingMs - waitedMs,
      passedDomains: [...passedDomains],
    };
    this.send(target, {kind: 'item', domain, item: current});
  }

  private resubmit(requestId: RequestId, cause: string): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    const {item, scheduler, submittedAtMs} = pending;
    const nowMs = monotonicNowMs();
    const waitedMs = nowMs - submittedAtMs;
    this.options.logger.warn(
      {event: 'scheduler_silent', requestId, scheduler, waitedMs, cause},
      'scheduler did not decide on the request; resubmitting or refusing it',
    );
    const shouldGiveUp =
      waitedMs + item.ageMs > item.targetLatencyMs ||
      pending.submissions >= MAX_SUBMISSIONS + pending.passedDomains.length;
    if (shouldGiveUp) {
      this.removePending(requestId);
      pending.resolve(localRefusal(pending, 'unscheduled', DECISION_GRACE_MS));
      return;
    }
    if (this.options.members.isSuspect(scheduler, nowMs)) {
      pending.domain = this.options.domains.afterFailure(pending.domain);
    }
    this.submit(pending);
  }

  private cancel(requestId: RequestId): void {
    const pending = this.pending.get(requestId);
    if (pending === undefined) return;
    this.removePending(requestId);
    const {item, domain, scheduler} = pending;
    const {service} = item;
    this.send(scheduler, {kind: 'cancel', service, domain, requestId});
    pending.resolve(localRefusal(pending, 'expired', 0));
  }

  private removePending(requestId: RequestId): void {
    clearTimeout(this.pending.get(requestId)?.timer);
    this.pending.delete(requestId);
  }

  private schedulerOf({service, domain}: SchedulerScope): InstanceId {
    const {members, region, self} = this.options;
    const place = {domain, region};
    const scheduler = members.schedulerOf(place, service, monotonicNowMs());
    return scheduler?.instanceId ?? self;
  }

  private send(target: InstanceId, part: SubmissionPart, delayMs = 0): void {
    const entry = this.options.members.entry(target);
    if (target === this.options.self || entry === undefined) {
      this.options.submitHere([part]);
      return;
    }
    const link = this.linkFor(entry);
    if (delayMs > 0) link.pushDelayed(part, delayMs);
    else link.push(part);
  }

  private linkFor(entry: EntryInstance): BatchLink<SubmissionPart> {
    const {instanceId, innerAddress} = entry;
    const known = this.links.get(instanceId);
    if (known?.address === innerAddress) return known.link;
    const link = new BatchLink<SubmissionPart>({
      client: this.options.client,
      address: innerAddress,
      method: SUBMIT_METHOD,
      pack: parts => ({parts}),
      onReply: reply => this.noteReply(instanceId, reply as SubmissionReply),
      onFailure: (parts, error) => this.noteFailure(instanceId, parts, error),
    });
    this.links.set(instanceId, {address: innerAddress, link});
    return link;
  }

  private noteReply(scheduler: InstanceId, reply: SubmissionReply): void {
    this.options.members.clearSuspicion(scheduler);
    this.deliver(scheduler, reply.decisions);
    if (this.syncedWith.get(scheduler) === reply.incarnation) return;
    this.syncedWith.set(scheduler, reply.incarnation);
    [...this.lastSchedulers.values()]
      .filter(({instanceId}) => instanceId === scheduler)
      .forEach(({scope}) => this.sync(scope, scheduler));
  }

  private noteFailure(
    scheduler: InstanceId,
    parts: readonly SubmissionPart[],
    error: GatewayError,
  ): void {
    const nowMs = monotonicNowMs();
    const isConnectionFault =
      error.code === 'timeout' && this.isFirstTimeout(scheduler, nowMs);
    if (!isConnectionFault) this.options.members.suspect(scheduler, nowMs);
    // A lost reply may have carried grants; a sync removes their placements.
    this.syncedWith.delete(scheduler);
    parts.forEach(part => {
      if (part.kind === 'item') {
        this.resubmit(part.item.requestId, error.message);
      }
    });
  }

  // A connection may stall while its peer is healthy. Moving the scheduling
  // would lose the scheduler's state, so a new connection is tried first.
  private isFirstTimeout(scheduler: InstanceId, nowMs: number): boolean {
    const connectionFailedAtMs = this.connectionFailedAtMs.get(scheduler);
    const sinceMs = nowMs - (connectionFailedAtMs ?? Number.NEGATIVE_INFINITY);
    if (sinceMs < SAME_FAILURE_MS) return true;
    if (sinceMs < FRESH_CONNECTION_MS) return false;
    this.connectionFailedAtMs.set(scheduler, nowMs);
    return true;
  }

  private syncIfMoved(scope: SchedulerScope, target: InstanceId): void {
    const {service, domain} = scope;
    const key = `${domain} ${service}`;
    const before = this.lastSchedulers.get(key)?.instanceId;
    if (before === target) return;
    this.lastSchedulers.set(key, {scope, instanceId: target});
    this.refusals.invalidate(service, domain);
    this.options.logger.info(
      {event: 'scheduler_moved', service, domain, from: before, to: target},
      'scheduling of a service in a domain moved to another entry',
    );
    // Sent even without placements, to clear those of an earlier process.
    this.sync(scope, target);
  }

  private sync({service, domain}: SchedulerScope, target: InstanceId): void {
    const placements = [...this.running.values()]
      .filter(each => each.item.service === service)
      .filter(each => each.domain === domain)
      .map(({item, upstreamId}) => ({item, upstreamId}));
    const limits = this.options.limits.of(service, domain);
    this.send(target, {kind: 'running', service, domain, placements, limits});
  }
}
