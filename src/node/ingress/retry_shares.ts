/**
 * The part of the retry budget that this entry may use, for each service. An entry
 * knows each request that it sends to an upstream, whichever scheduler granted it,
 * so the deployment keeps to its budget also while schedulers move or a scheduler
 * exists twice.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {Logger} from '../logging/logger.js';
import {
  RetryBudget,
  type RetryBudgetOptions,
} from '../scheduling/retry_budget.js';
import {RetryReport} from '../scheduling/retry_report.js';
import type {ServiceId} from '../types/ids.js';
import {deploymentRetries, type IngressSettings} from './settings.js';

/** The part of its slack that a process has in its first window. */
const SLACK_SHARE_AT_START = 0.5;
/**
 * Until a process has been told of the other entries, its share of the slack is
 * unknown: all may have started at the same time.
 */
const UNKNOWN_ENTRIES_MS = 2_000;
/**
 * With many entries and few requests the sum of these may exceed the slack, to which
 * the schedulers still keep.
 */
const MIN_SLACK = 1;

export interface RetrySharesOptions {
  /** The budget of the whole deployment. */
  readonly deployment: RetryBudgetOptions;
  /** How many entries divide the slack. */
  readonly entries: () => number;
  readonly logger: Logger;
}

/** The budget of one entry for one service. */
class RetryShare implements RetryBudgetOptions {
  readonly ratio: number;
  readonly windowMs: number;
  private readonly startedAtMs = monotonicNowMs();

  constructor(private readonly options: RetrySharesOptions) {
    const {ratio, windowMs} = options.deployment;
    this.ratio = ratio;
    this.windowMs = windowMs;
  }

  // The process before this one may have spent its slack just before it ended.
  get slack(): number {
    const {deployment, entries} = this.options;
    const ageMs = monotonicNowMs() - this.startedAtMs;
    if (ageMs < UNKNOWN_ENTRIES_MS) return MIN_SLACK;
    const slack = deployment.slack / Math.max(1, entries());
    const share = ageMs < this.windowMs ? SLACK_SHARE_AT_START : 1;
    return Math.max(MIN_SLACK, slack * share);
  }
}

/** The shares of one entry; as many as there are domains divide the slack at least. */
export function createRetryShares(
  settings: IngressSettings,
  members: Pick<FleetMembers, 'mostEntries'>,
  logger: Logger,
): RetryShares {
  const domains = Object.keys(settings.regionOfDomain).length;
  return new RetryShares({
    deployment: deploymentRetries(settings),
    entries: () => Math.max(domains, members.mostEntries()),
    logger,
  });
}

/** Counts the requests and retries that one entry sends to upstreams. */
export class RetryShares {
  private readonly share: RetryShare;
  private readonly retryReport = new RetryReport();
  private readonly budgets = new Map<ServiceId, RetryBudget>();

  constructor(private readonly options: RetrySharesOptions) {
    this.share = new RetryShare(options);
  }

  /** Whether one more retry stays within the share. */
  allowsRetry(service: ServiceId): boolean {
    return this.budgetOf(service).allowsRetry(monotonicNowMs());
  }

  noteRequest(service: ServiceId): void {
    this.budgetOf(service).noteRequest(monotonicNowMs());
  }

  noteRetry(service: ServiceId): void {
    this.budgetOf(service).noteRetry(monotonicNowMs());
  }

  noteRefusal(service: ServiceId): void {
    this.budgetOf(service).noteRefusal(monotonicNowMs());
  }

  /** Logs the counts of services that had retries since the last call. */
  log(): void {
    const {entries, logger} = this.options;
    const nowMs = monotonicNowMs();
    this.budgets.forEach((budget, service) =>
      this.retryReport.report(budget, nowMs, counts =>
        logger.info(
          {event: 'retry_share', service, ...counts, entries: entries()},
          'requests and retries that this entry counts in the window',
        ),
      ),
    );
  }

  private budgetOf(service: ServiceId): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const created = new RetryBudget(this.share);
    this.budgets.set(service, created);
    return created;
  }
}
