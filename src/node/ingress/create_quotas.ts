/** Creates the quotas of an entry. */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import {toleranceOf} from '../quotas/limits.js';
import {QuotaGate, type QuotaGateOptions} from '../quotas/quota_gate.js';
import type {IngressSettings} from './settings.js';

/** By then a process that has started knows the other entries. */
const UNKNOWN_ENTRIES_MS = 2_000;

/** At least as many entries as there are domains divide what needs no lease. */
export function createQuotas(
  settings: IngressSettings,
  members: Pick<FleetMembers, 'mostEntries'>,
  options: Omit<QuotaGateOptions, 'entries' | 'tolerance'>,
): QuotaGate {
  const domains = Object.keys(settings.regionOfDomain).length;
  const startedAtMs = monotonicNowMs();
  const entries = (): number | undefined =>
    monotonicNowMs() - startedAtMs < UNKNOWN_ENTRIES_MS
      ? undefined
      : Math.max(domains, members.mostEntries());
  return new QuotaGate({
    ...options,
    entries,
    tolerance: toleranceOf(settings),
  });
}
