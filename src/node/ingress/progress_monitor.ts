/**
 * Follows the progress of one request at its upstream. The entry learns the
 * upstream's pace from it. The scheduler is told when an engine has not begun a
 * request by the expected time, and when it begins after all: it predicts how
 * far an engine has read its prompts, and one that is slower than predicted
 * would get more and more of them.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamPaces} from './upstream_pace.js';
import type {Grant} from './upstream_try.js';

/** Covers the network and the spread of answer times. */
const MIN_SLACK_MS = 60;
const SLACK_SHARE_OF_EXPECTED = 0.3;

export interface ProgressMonitorOptions {
  readonly paces: UpstreamPaces;
  readonly scheduler: SchedulerClient;
  readonly grant: Grant;
  /** Whether the upstream reads a prompt before it answers. */
  readonly hasPrompt: boolean;
}

/** Follows one request from its sending until `stop` is called. */
export class ProgressMonitor {
  private readonly sentAtMs = monotonicNowMs();
  private timer: ReturnType<typeof setTimeout> | undefined;
  private isOverdue = false;

  constructor(private readonly options: ProgressMonitorOptions) {
    const {hasPrompt, grant} = options;
    if (!hasPrompt) return;
    const {expectedMs} = grant;
    const slackMs = Math.max(
      MIN_SLACK_MS,
      expectedMs * SLACK_SHARE_OF_EXPECTED,
    );
    this.timer = setTimeout(() => this.reportOverdue(), expectedMs + slackMs);
  }

  /** Records progress; `previousAtMs` is 0 for the first one. */
  readonly record = (previousAtMs: number, nowMs: number): void => {
    const {paces, scheduler, grant} = this.options;
    const {sentAtMs} = this;
    paces.noteProgress(grant, {sentAtMs, previousAtMs, nowMs});
    if (previousAtMs > 0) return;
    this.stop();
    if (this.isOverdue) scheduler.report('begun', grant);
  };

  stop(): void {
    clearTimeout(this.timer);
  }

  private reportOverdue(): void {
    this.isOverdue = true;
    this.options.scheduler.report('overdue', this.options.grant);
  }
}
