/** Builds what a scheduler needs to know of one request, for each of its tries. */
import {monotonicNowMs} from '../clock/clock.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {UpstreamReachability} from '../reachability/upstream_reachability.js';
import {allowsRegion, type WorkspaceSpec} from '../routes/route_table.js';
import type {WorkItem} from '../scheduling/types.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
  type RequestId,
  type UpstreamId,
} from '../types/ids.js';
import {fingerprintOf} from './fingerprint.js';
import type {RelayClient} from './relay.js';
import type {StreamProgress} from './response_reader.js';
import type {TryBudget} from './try_budget.js';
import type {InboundRequest} from './types.js';
import type {Grant} from './upstream_try.js';

export interface WorkItemsOptions {
  readonly self: InstanceId;
  readonly region: RegionId;
  readonly members: FleetMembers;
  readonly reachability: UpstreamReachability;
  readonly notices: UpstreamNotices;
  readonly relay: Pick<RelayClient, 'isDoubtful'>;
  readonly evacuatedDomains: () => readonly DomainId[];
  readonly request: InboundRequest;
  readonly progress: StreamProgress;
  readonly tries: TryBudget;
}

/** The work items of one request. */
export class WorkItems {
  private readonly fingerprint: string;
  private readonly failedUpstreams: UpstreamId[];
  private readonly refusedRegions: RegionId[] = [];
  private replacementsSought = 0;

  constructor(private readonly options: WorkItemsOptions) {
    const {request} = options;
    this.fingerprint = fingerprintOf(request);
    this.failedUpstreams = [...request.avoidUpstreams];
  }

  /** Upstreams at which earlier tries did not succeed. */
  get avoidedUpstreams(): readonly UpstreamId[] {
    return this.failedUpstreams;
  }

  avoid(upstreamId: UpstreamId): void {
    this.failedUpstreams.push(upstreamId);
  }

  avoidRegion(region: RegionId): void {
    this.refusedRegions.push(region);
  }

  /** The item of the next try. */
  next(): WorkItem {
    const {self, region, request, progress, tries, notices} = this.options;
    const {route, traits, workspace} = request;
    const {begun} = progress;
    const forbidden = notices.forbidden();
    const evacuatedDomains = this.options.evacuatedDomains();
    const nowMs = monotonicNowMs();
    return {
      requestId: request.requestId,
      entry: self,
      service: request.service,
      fingerprint: this.fingerprint,
      priority: route.priority,
      ...(workspace === undefined ? {} : callerFields(workspace)),
      targetLatencyMs: route.targetLatencyMs,
      ageMs: tries.hasRun ? 0 : nowMs - request.receivedAtMs,
      remainingMs: request.expiresAtMs - nowMs,
      ...(traits.prompt === undefined ? {} : {prompt: traits.prompt}),
      ...(begun === undefined ? {} : {begun}),
      ...this.reachabilityFields(nowMs),
      ...(forbidden.length === 0 ? {} : {forbidden}),
      ...(evacuatedDomains.length === 0 ? {} : {evacuatedDomains}),
      avoidUpstreams: this.failedUpstreams,
      isRepeat: tries.isRepeat,
      isAllowedHere: allowsRegion(route, region),
      otherRegions: this.otherRegions(),
      passedDomains: [],
    };
  }

  /** Asks for another upstream in place of one that does not progress. */
  replacing({upstreamId, domain}: Grant): WorkItem {
    const {requestId} = this.options.request;
    this.replacementsSought += 1;
    return {
      ...this.next(),
      requestId: asId<RequestId>(`${requestId}~${this.replacementsSought}`),
      ageMs: 0,
      avoidUpstreams: [...this.failedUpstreams, upstreamId],
      isRepeat: true,
      otherRegions: [],
      replaces: {upstreamId, domain},
    };
  }

  /** Whether another entry of this region may pass the request on. */
  mayUsePeer(nowMs: number): boolean {
    const {members, region, request} = this.options;
    return (
      !request.isRelayed &&
      allowsRegion(request.route, region) &&
      !this.refusedRegions.includes(region) &&
      members.hasConnectedPeer(region, nowMs)
    );
  }

  private reachabilityFields(
    nowMs: number,
  ): Pick<WorkItem, 'unreachable' | 'mayUsePeer'> {
    const unreachable = this.options.reachability.unreachable();
    return unreachable.length === 0
      ? {}
      : {unreachable, mayUsePeer: this.mayUsePeer(nowMs)};
  }

  private otherRegions(): readonly RegionId[] {
    const {region, members, request, relay} = this.options;
    if (request.isRelayed) return [];
    const others = members
      .regions()
      .filter(each => each !== region)
      .filter(each => allowsRegion(request.route, each))
      .filter(each => !this.refusedRegions.includes(each));
    const inReach = others.filter(each => !relay.isDoubtful(each));
    const mayStay = allowsRegion(request.route, region);
    return mayStay || inReach.length > 0 ? inReach : others;
  }
}

function callerFields({
  name,
  fairWeight,
}: WorkspaceSpec): Pick<WorkItem, 'workspace' | 'fairWeight'> {
  return {
    workspace: name,
    ...(fairWeight === undefined ? {} : {fairWeight}),
  };
}
