/**
 * The ordered list of entries that a caller should use. It replaces a load
 * balancer: the home region comes first, callers are spread by load, and a
 * caller keeps its order, so that its cached prefixes and connections are
 * reused.
 */
import type {Digest, InstanceId, RegionId} from '../../types/ids.js';
import {rendezvousScore, unitHash} from '../hash.js';

/** Lifetime of a list while all entries are healthy. */
const LIFETIME_MS = 30_000;
/** Lifetime while some entries are unavailable or highly loaded. */
const DEGRADED_LIFETIME_MS = 5_000;
/** Lifetimes vary by this share, so that refreshes do not synchronize. */
const LIFETIME_JITTER_SHARE = 0.2;
/** An entry above this load shortens the lifetime of lists. */
const HIGH_LOAD_SHARE = 0.8;
/** Loads are rounded to steps, so that small changes do not move callers. */
const LOAD_STEPS = 4;
/** Weight of a fully loaded entry, which still keeps some callers. */
const MIN_WEIGHT = 0.05;

/** An entry that callers could use. */
export interface EntryCandidate {
  readonly instanceId: InstanceId;
  readonly regionId: RegionId;
  readonly callerAddress: string;
  readonly state: 'alive' | 'suspect' | 'dead' | 'leaving' | 'left';
  /** Share of its queue and slots in use, 0 to 1. */
  readonly loadShare: number;
}

/** The caller that requests a list. */
export interface EntryListRequest {
  /** Digest of the caller's key. */
  readonly callerDigest: Digest;
  readonly homeRegionId: RegionId;
  /** The only regions that may see the caller's data. */
  readonly allowedRegionIds: readonly RegionId[];
}

/** The entries to use, best first, and how long the list is valid. */
export interface EntryList {
  readonly entries: readonly {
    readonly instanceId: InstanceId;
    readonly callerAddress: string;
  }[];
  readonly lifetimeMs: number;
}

function entryWeight(loadShare: number): number {
  const load = Math.min(1, Math.max(0, loadShare));
  return Math.max(MIN_WEIGHT, 1 - Math.round(load * LOAD_STEPS) / LOAD_STEPS);
}

/**
 * Orders the entries for one caller. Suspect entries come last; entries that
 * are dead, leaving or outside the allowed regions are omitted.
 */
export function listEntries(
  request: EntryListRequest,
  candidates: readonly EntryCandidate[],
): EntryList {
  const allowed = candidates.filter(each =>
    request.allowedRegionIds.includes(each.regionId),
  );
  const usable = allowed.filter(
    each => each.state === 'alive' || each.state === 'suspect',
  );
  const ordered = usable
    .map(each => ({
      each,
      group:
        (each.state === 'suspect' ? 2 : 0) +
        (each.regionId === request.homeRegionId ? 0 : 1),
      score: rendezvousScore(
        request.callerDigest,
        each.instanceId,
        entryWeight(each.loadShare),
      ),
    }))
    .sort((a, b) => a.group - b.group || b.score - a.score)
    .map(({each}) => ({
      instanceId: each.instanceId,
      callerAddress: each.callerAddress,
    }));
  const isDegraded = allowed.some(
    each => each.state !== 'alive' || each.loadShare > HIGH_LOAD_SHARE,
  );
  const base = isDegraded ? DEGRADED_LIFETIME_MS : LIFETIME_MS;
  const jitter = (unitHash(request.callerDigest) - 0.5) * LIFETIME_JITTER_SHARE;
  return {entries: ordered, lifetimeMs: Math.round(base * (1 + jitter))};
}
