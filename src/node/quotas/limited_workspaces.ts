/** Counts admitted and refused units, and logs since when a workspace is limited. */
import {monotonicNowMs} from '../clock/clock.js';
import type {Logger} from '../logging/logger.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {WorkspaceSpec} from '../routes/route_table.js';
import type {WorkspaceId} from '../types/ids.js';
import type {Balance} from './balance.js';
import type {Admission} from './entry_quotas.js';
import {instantNow} from './instant.js';

/** Without a refusal for so long, a workspace is no longer limited. */
const LIMITED_FOR_MS = 2_000;

interface LimitedSince {
  readonly sinceMs: number;
  readonly refusedAtMs: number;
  readonly refusedUnits: number;
}

export interface LimitedWorkspacesOptions {
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
}

/** Workspaces of which this entry refuses requests for their quota. */
export class LimitedWorkspaces {
  private readonly limited = new Map<WorkspaceId, LimitedSince>();

  constructor(private readonly options: LimitedWorkspacesOptions) {
    // A workspace that sends nothing more is no longer limited either.
    options.metrics.beforeRead(() =>
      [...this.limited.keys()].forEach(name => this.endIfOver(name)),
    );
  }

  /** For how long requests have been refused; `undefined` if none are. */
  limitedForMs(workspace: WorkspaceId): number | undefined {
    const since = this.limited.get(workspace);
    const nowMs = monotonicNowMs();
    const isLimited =
      since !== undefined && nowMs - since.refusedAtMs < LIMITED_FOR_MS;
    return isLimited ? nowMs - since.sinceMs : undefined;
  }

  note(
    spec: WorkspaceSpec,
    units: number,
    {kind}: Admission,
    balance: Balance,
  ): void {
    const workspace = spec.name;
    this.options.metrics.count(`quota_units_${kind}`, {workspace}, units);
    this.endIfOver(workspace);
    if (kind === 'refused') this.noteRefusal(spec, units, balance);
  }

  private noteRefusal(
    spec: WorkspaceSpec,
    units: number,
    balance: Balance,
  ): void {
    const nowMs = monotonicNowMs();
    const before = this.limited.get(spec.name);
    this.limited.set(spec.name, {
      sinceMs: before?.sinceMs ?? nowMs,
      refusedAtMs: nowMs,
      refusedUnits: (before?.refusedUnits ?? 0) + units,
    });
    if (before !== undefined) return;
    const state = balance.state(instantNow());
    this.options.metrics.set('quota_limited', {workspace: spec.name}, 1);
    this.options.logger.info(
      {
        event: 'quota_limited',
        workspace: spec.name,
        ratePerS: spec.quota?.ratePerS ?? 0,
        requestUnits: units,
        balanceUnits: Math.round(state.units),
        sharePerS: Math.round(state.sharePerS),
        demandPerS: Math.round(state.demandPerS),
        hasLease: state.hasLease,
      },
      'refusing requests of a workspace over its quota',
    );
  }

  private endIfOver(name: WorkspaceId): void {
    const since = this.limited.get(name);
    const nowMs = monotonicNowMs();
    if (since === undefined || nowMs - since.refusedAtMs < LIMITED_FOR_MS) {
      return;
    }
    this.limited.delete(name);
    this.options.metrics.set('quota_limited', {workspace: name}, 0);
    this.options.logger.info(
      {
        event: 'quota_unlimited',
        workspace: name,
        limitedMs: Math.round(since.refusedAtMs - since.sinceMs),
        refusedUnits: Math.round(since.refusedUnits),
      },
      'no longer refusing requests of a workspace for its quota',
    );
  }
}
