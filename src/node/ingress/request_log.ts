/**
 * Log lines about requests, kept within a number of bytes a second. Lines on
 * failures have a share of their own, so that a flood of calm lines does not
 * push them out; what is dropped is counted.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {LogEvent} from '../logging/event_schema.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {SchedulerAnswer} from '../scheduling/types.js';
import type {RequestId} from '../types/ids.js';
import type {InboundRequest, TryResult} from './types.js';

const LINES_PER_S = 150;
/** Lines on successes stop at this share of the budget. */
const CALM_SHARE = 0.4;
const MS_PER_S = 1_000;

type RequestEvent = Extract<
  LogEvent,
  | 'granted'
  | 'offloaded'
  | 'refused'
  | 'retry'
  | 'upstream_outcome'
  | 'ended'
  | 'rejected'
>;

/** Why a request was answered before it was matched to a service. */
export type RejectionReason =
  | 'no_route_table'
  | 'no_route'
  | 'no_service'
  | 'headers_too_large'
  | 'body_too_large'
  | 'body_incomplete';

/** Figures of a request at its end. */
export interface EndFigures {
  readonly status: number;
  /** The last upstream that it was granted. */
  readonly upstream: string | undefined;
  /** Wait in the queue of the scheduler that granted it. */
  readonly queuedMs: number;
  /** From asking schedulers to their decisions, over all tries. */
  readonly decisionMs: number;
  readonly expectedMs: number;
  readonly totalMs: number;
  readonly firstAnswerMs: number;
  /** Longest pause between events of a stream. */
  readonly longestGapMs: number;
  readonly runs: number;
  readonly triesNotRun: number;
}

/** Writes the lines of one process. */
export class RequestLog {
  private second = 0;
  private lines = 0;

  constructor(
    private readonly logger: Logger,
    private readonly metrics: MetricsRegistry,
  ) {}

  decision(request: InboundRequest, decision: SchedulerAnswer): void {
    const {requestId: _id, entry: _entry, kind, ...inputs} = decision;
    const events = {
      grant: 'granted',
      offload: 'offloaded',
      refuse: 'refused',
    } as const;
    // A calm grant is told by the line on the request's end.
    const isCalm = kind === 'grant' && !decision.isCold;
    if (!isCalm) this.write(events[kind], request, rounded(inputs));
  }

  /** The end of a request. */
  end(request: InboundRequest, result: TryResult, figures: EndFigures): void {
    const isCalm = result.kind === 'delivered' && figures.runs <= 1;
    const cause = 'cause' in result ? result.cause : undefined;
    this.write(
      'ended',
      request,
      {
        result: result.kind,
        cause,
        isRelayed: request.isRelayed,
        ...rounded({...figures}),
      },
      !isCalm,
    );
  }

  /** A request that was answered without a service; `tableVersion` 0 is none. */
  rejected(
    requestId: RequestId,
    reason: RejectionReason,
    status: number,
    tableVersion: number,
  ): void {
    this.metrics.count('requests_rejected', {reason});
    this.writeLine('rejected', {requestId, tableVersion, reason, status}, true);
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
    if (!this.hasRoom(isUrgent)) {
      this.metrics.count('log_lines_dropped', {event});
      return;
    }
    this.logger.info({event, ...fields}, event);
  }

  private hasRoom(isUrgent: boolean): boolean {
    const second = Math.floor(monotonicNowMs() / MS_PER_S);
    if (second !== this.second) {
      this.second = second;
      this.lines = 0;
    }
    const limit = isUrgent ? LINES_PER_S : LINES_PER_S * CALM_SHARE;
    if (this.lines >= limit) return false;
    this.lines += 1;
    return true;
  }
}

function rounded(
  figures: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  return Object.fromEntries(
    Object.entries(figures).map(([name, value]) => [
      name,
      typeof value === 'number' ? Math.round(value) : value,
    ]),
  );
}
