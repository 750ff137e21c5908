/**
 * Log lines about requests. The number of lines a second is limited to bound
 * the log volume. Part of the limit is reserved for lines on failures, so that
 * a flood of lines on successes does not displace them. Dropped lines are
 * counted.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {LogEvent} from '../logging/event_schema.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {sharedParts} from '../scheduling/prompt_parts.js';
import type {PlacementOutcome, SchedulerAnswer} from '../scheduling/types.js';
import type {GatewayError} from '../types/errors.js';
import type {
  RegionId,
  RequestId,
  SoftwareVersion,
  UpstreamId,
} from '../types/ids.js';
import type {RejectionFigures} from './rejection_figures.js';
import type {InboundRequest, TryResult} from './types.js';

const MAX_LINES_PER_S = 150;
/** Routine lines, on successes, may use this share of the limit. */
const ROUTINE_LINE_SHARE = 0.4;
const MS_PER_S = 1_000;

type RequestEvent = Extract<
  LogEvent,
  | 'granted'
  | 'offloaded'
  | 'refused'
  | 'retry'
  | 'stalled'
  | 'begun_early'
  | 'end_checked'
  | 'extra_answer'
  | 'resumed'
  | 'upstream_outcome'
  | 'upstream_limit'
  | 'upstream_notice'
  | 'ended'
  | 'rejected'
  | 'request_crashed'
>;

/** Why a request was rejected before it was assigned to a service. */
export type RejectionReason =
  | 'no_route_table'
  | 'no_route'
  /** Its key belongs to no workspace, or it has none. */
  | 'unknown_key'
  /** Another entry relayed it for a workspace that this one does not know. */
  | 'unknown_workspace'
  /** The homes of its route and of its workspace have no region in common. */
  | 'no_common_region'
  /** It was relayed to a region that is no home of it. */
  | 'not_a_home'
  /** Its workspace has used its quota. */
  | 'over_quota'
  /** This process cannot serve it in time. */
  | 'busy'
  | 'no_service'
  | 'stopping'
  | 'headers_too_large'
  | 'body_too_large'
  | 'no_memory'
  /** The body did not arrive within the time limit of the request. */
  | 'body_too_slow'
  | 'body_incomplete';

/** Called for a request that is rejected before it is run; logs what decided. */
export type OnRejected = (
  reason: RejectionReason,
  status: number,
  figures?: RejectionFigures,
) => void;

/** What is logged when a request has ended. */
export interface RequestSummary {
  readonly status: number;
  /** The upstream of the last grant. */
  readonly upstream: string | undefined;
  readonly softwareVersion: SoftwareVersion | undefined;
  /** Wait in the queue of the scheduler that made the last grant. */
  readonly queuedMs: number;
  /** Wait for scheduling decisions, summed over all tries. */
  readonly decisionMs: number;
  readonly expectedMs: number;
  readonly totalMs: number;
  readonly firstAnswerMs: number;
  /** Longest gap between events of a stream. */
  readonly longestGapMs: number;
  readonly runs: number;
  readonly triesNotRun: number;
}

/** What is logged when a try has failed. */
export interface FailedTry {
  readonly upstream: UpstreamId;
  readonly outcome: PlacementOutcome;
  readonly cause: string | undefined;
  readonly firstAnswerMs: number;
  readonly totalMs: number;
}

/** Writes the request log of one process. */
export class RequestLog {
  private second = 0;
  private lines = 0;

  constructor(
    private readonly logger: Logger,
    private readonly metrics: MetricsRegistry,
  ) {}

  /** A decision for a request that an entry of `entryRegion` has. */
  decision(
    request: InboundRequest,
    decision: SchedulerAnswer,
    entryRegion: RegionId,
  ): void {
    const {requestId: _id, entry: _entry, kind, ...inputs} = decision;
    const events = {
      grant: 'granted',
      offload: 'offloaded',
      refuse: 'refused',
    } as const;
    // A grant of a warm upstream is covered by the line at the request's end.
    const isRoutine = kind === 'grant' && !decision.isCold;
    if (isRoutine) return;
    const {begun, traits} = request;
    this.write(events[kind], request, {
      ...roundNumbers(inputs),
      entryRegion,
      ...homeFields(request),
      // Tells a stream whose version has left from one whose origin is unknown.
      ...(begun === undefined
        ? {}
        : {
            begunBy: begun.softwareVersion,
            resumedAttemptId: traits.resumedAttemptId,
          }),
    });
  }

  end(
    request: InboundRequest,
    result: TryResult,
    summary: RequestSummary,
  ): void {
    const isRoutine = result.kind === 'delivered' && summary.runs <= 1;
    const cause = 'cause' in result ? result.cause : undefined;
    this.write(
      'ended',
      request,
      {
        result: result.kind,
        cause,
        isRelayed: request.isRelayed,
        ...roundNumbers({...summary}),
      },
      !isRoutine,
    );
  }

  /** A try that did not end with a success of its upstream. */
  tryFailed(request: InboundRequest, summary: FailedTry): void {
    this.write('upstream_outcome', request, {
      ...roundNumbers({...summary}),
      parts: sharedParts(request.traits),
    });
  }

  /** A request without a service; `tableVersion` is 0 if there is no table. */
  rejected(
    requestId: RequestId,
    reason: RejectionReason,
    status: number,
    tableVersion: number,
    figures: Readonly<Record<string, unknown>> = {},
  ): void {
    this.metrics.count('requests_rejected', {reason});
    const fields = {requestId, tableVersion, reason, status, ...figures};
    this.writeLine('rejected', fields, true);
  }

  /** A request whose handling threw an error that nothing expected. */
  crashed(requestId: RequestId, error: GatewayError, status: number): void {
    this.metrics.count('requests_crashed');
    this.writeLine('request_crashed', {requestId, err: error, status}, true);
  }

  write(
    event: RequestEvent,
    request: InboundRequest,
    inputs: Readonly<Record<string, unknown>>,
    isUrgent = true,
  ): void {
    const fields = {
      requestId: request.requestId,
      route: request.route.name,
      ...(request.workspace === undefined
        ? {}
        : {workspace: request.workspace.name}),
      service: request.service,
      tableVersion: request.tableVersion,
      ageMs: Math.round(monotonicNowMs() - request.receivedAtMs),
      ...inputs,
    };
    this.writeLine(event, fields, isUrgent);
  }

  private writeLine(
    event: RequestEvent,
    fields: Readonly<Record<string, unknown>>,
    isUrgent: boolean,
  ): void {
    if (!this.takeLineBudget(isUrgent)) {
      this.metrics.count('log_lines_dropped', {event});
      return;
    }
    this.logger.info({event, ...fields}, event);
  }

  private takeLineBudget(isUrgent: boolean): boolean {
    const second = Math.floor(monotonicNowMs() / MS_PER_S);
    if (second !== this.second) {
      this.second = second;
      this.lines = 0;
    }
    const limit = isUrgent
      ? MAX_LINES_PER_S
      : MAX_LINES_PER_S * ROUTINE_LINE_SHARE;
    if (this.lines >= limit) return false;
    this.lines += 1;
    return true;
  }
}

/** The regions that a request is bound to, and its workspace; absent if to none. */
function homeFields({
  route,
  workspace,
}: InboundRequest): Readonly<Record<string, unknown>> {
  const isOwn = (workspace?.homeRegions.length ?? 0) > 0;
  return {
    ...(route.homeRegions.length > 0 ? {homeRegions: route.homeRegions} : {}),
    ...(isOwn ? {workspaceHomes: workspace?.homeRegions} : {}),
  };
}

/** Rounds the numbers among the fields of a line. */
export function roundNumbers(
  fields: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value) : value,
    ]),
  );
}
