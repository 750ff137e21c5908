/**
 * Shares the evidence on what crashes upstreams with all other entries that
 * schedule, so that each region stops sending what crashed upstreams elsewhere,
 * and a scheduler that moves finds the evidence in its new place.
 */
import type {
  CrashEvidence,
  QuarantineChange,
} from '../decisions/quarantine/crash_evidence.js';
import type {SuspectReport} from '../decisions/quarantine/suspect_record.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {DomainLocation, FleetMembers} from '../fleet/fleet_members.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceSpec} from '../routes/route_table.js';
import type {RpcClient} from '../rpc/rpc.js';
import type {InstanceId, RegionId} from '../types/ids.js';
import {BATCH_TIMEOUT_MS} from './batch_link.js';
import {
  SUSPECTS_METHOD,
  suspectBatchSchema,
  type SuspectBatch,
} from './messages.js';

const CHECK_INTERVAL_MS = 150;
/** All evidence is sent again for peers that a message has not reached. */
const REPEAT_INTERVAL_MS = 10_000;

export interface SuspectExchangeOptions {
  readonly evidence: CrashEvidence;
  /** All domains of the deployment. */
  readonly domains: readonly DomainLocation[];
  readonly region: RegionId;
  readonly self: InstanceId;
  readonly members: FleetMembers;
  readonly client: RpcClient;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly services: () => readonly ServiceSpec[];
  /** Number of schedulers on this entry. */
  readonly schedulerCount: () => number;
}

/** Decides on the evidence of one entry and sends it to its peers. */
export class SuspectExchange {
  private timer: ReturnType<typeof setInterval> | undefined;
  private sentRevision = 0;
  private repeatedAtMs = Number.NEGATIVE_INFINITY;
  private schedulerCount = 0;

  constructor(private readonly options: SuspectExchangeOptions) {}

  start(): void {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const {evidence} = this.options;
    const nowMs = monotonicNowMs();
    this.askIfNewScheduler(nowMs);
    evidence.update(nowMs);
    evidence.takeChanges().forEach(change => this.report(change));
    if (nowMs - this.repeatedAtMs >= REPEAT_INTERVAL_MS) {
      this.repeatedAtMs = nowMs;
      this.send(evidence.reports(nowMs), nowMs);
    } else if (evidence.revision !== this.sentRevision) {
      this.send(evidence.reports(nowMs, this.sentRevision + 1), nowMs);
    }
    this.sentRevision = evidence.revision;
  }

  private send(reports: readonly SuspectReport[], nowMs: number): void {
    if (reports.length === 0) return;
    this.peers(nowMs).forEach(address => void this.call(address, {reports}));
  }

  // A scheduler that starts here, after a restart or a move, must not repeat
  // the crashes that the one before it has seen.
  private askIfNewScheduler(nowMs: number): void {
    const before = this.schedulerCount;
    this.schedulerCount = this.options.schedulerCount();
    if (this.schedulerCount <= before) return;
    const addresses = [...this.peers(nowMs), ...this.neighbours(nowMs)];
    [...new Set(addresses)].forEach(address => void this.ask(address));
  }

  private async ask(address: string): Promise<void> {
    const {evidence} = this.options;
    const result = await this.call(address, {reports: [], isQuestion: true});
    if (result.isErr()) return;
    const batch = suspectBatchSchema.safeParse(result.value);
    if (batch.success) evidence.merge(batch.data.reports, monotonicNowMs());
  }

  private call(address: string, message: SuspectBatch) {
    return this.options.client.call(
      address,
      SUSPECTS_METHOD,
      message,
      BATCH_TIMEOUT_MS,
    );
  }

  /** Addresses of the other entries of the region. */
  private neighbours(nowMs: number): readonly string[] {
    const {members, self, region} = this.options;
    return members
      .liveEntries(region, nowMs)
      .filter(each => each.instanceId !== self)
      .map(each => each.innerAddress);
  }

  /** Addresses of the other entries that schedule a service. */
  private peers(nowMs: number): readonly string[] {
    const {members, self, domains, services} = this.options;
    const schedulers = domains
      .flatMap(domain =>
        services().flatMap(
          ({name}) => members.schedulerOf(domain, name, nowMs) ?? [],
        ),
      )
      .filter(each => each.instanceId !== self);
    return [...new Set(schedulers.map(each => each.innerAddress))];
  }

  private report({kind, suspect, crashIds}: QuarantineChange): void {
    const {logger, metrics} = this.options;
    metrics.count('quarantine_changes', {kind});
    logger.warn(
      {event: `suspect_${kind}`, suspect, crashes: crashIds},
      'what requests share is kept from upstreams, or no longer',
    );
  }
}
