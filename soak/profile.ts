/** What distinguishes the kinds of runs: their faults, streams and promises. */
import {seededRandom} from '../src/node/__tests__/support/random.js';
import type {StandInWorkspace} from '../platform/standin/configuration.js';
import {KeylessCallers, type Callers} from './callers.js';
import {drawCopies} from './copy_faults.js';
import {byTime, drawFaults, type Fault, type FaultKind} from './fault_plan.js';
import {UPSTREAMS_PER_REGION, type Layout} from './layout.js';
import {drawOperatorLink} from './order_faults.js';
import {pick} from './traffic.js';

/** One kind of run. */
export abstract class SoakProfile {
  abstract readonly name: string;
  /** Pause between the events of a stream. */
  abstract readonly eventPauseMs: number;
  /** Whether answers of the upstream at a position end with their connection. */
  abstract isUnframed(position: number): boolean;
  /** The faults of a seed, by time; the same seed gives the same plan. */
  abstract faultsOf(seed: number, layout: Layout): readonly Fault[];
  /** Whether each request that reached an upstream must be answered whole. */
  abstract readonly losesNothing: boolean;
  /** Whether all entries stay in touch with most control members. */
  readonly entriesKeepTouch: boolean = false;
  /** By the position of the region. */
  readonly upstreamsPerRegion: readonly number[] = UPSTREAMS_PER_REGION;
  readonly callers: readonly Callers[] = [new KeylessCallers()];
  /** Whether what processes write and upstreams get is kept and searched for keys. */
  readonly keepsTexts: boolean = false;

  /** The workspaces of a version; `undefined` if callers need no keys. */
  workspacesOf(_version: number): readonly StandInWorkspace[] | undefined {
    return undefined;
  }

  /**
   * Names of the entries that a plan leaves alone and in touch with most control
   * members; none if a kind of run does not say.
   */
  unimpairedEntries(
    _faults: readonly Fault[],
    _layout: Layout,
  ): readonly string[] {
    return [];
  }
}

const ADDED_STREAM = 1_000_000_007;
const MOST_COPIES = 2;

/** All kinds of faults, overlapping. */
export class MixedFaults extends SoakProfile {
  override readonly name = 'mixed';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;

  override isUnframed(): boolean {
    return false;
  }

  override faultsOf(seed: number, layout: Layout): readonly Fault[] {
    // From a stream of their own, so that a seed keeps its other faults.
    const random = seededRandom(seed + ADDED_STREAM);
    const count = Math.floor(random() * (MOST_COPIES + 1));
    const copies = Array.from({length: count}, () =>
      drawCopies(pick(layout.upstreams, random)?.name ?? '', random),
    );
    const held = drawOperatorLink(random, layout);
    return byTime([...drawFaults(seed, layout), ...copies, held]);
  }
}

/** Runs in which half of the upstreams mark no end of their answers. */
abstract class HalfUnframed extends SoakProfile {
  override isUnframed(position: number): boolean {
    return position % 2 === 0;
  }

  override faultsOf(seed: number, layout: Layout): readonly Fault[] {
    const targets = this.targetsIn(layout).map(each => each.name);
    return this.faultsOn(targets, seededRandom(seed));
  }

  /** What the faults hit: the entries, unless a profile says otherwise. */
  protected targetsIn({processes}: Layout): readonly {readonly name: string}[] {
    return processes.filter(each => each.role === 'entry');
  }

  protected abstract faultsOn(
    targets: readonly string[],
    random: () => number,
  ): readonly Fault[];
}

const FIRST_ROLL_MS = 1_000;
const SHORTEST_GAP_MS = 2_000;
const GAP_RANGE_MS = 2_500;

/**
 * Planned stops of all entries in turn, twice, and nothing else. Streams take
 * about half of the time that a stop may take.
 */
export class PlannedStops extends HalfUnframed {
  override readonly name = 'rolls';
  override readonly eventPauseMs = 350;
  override readonly losesNothing = true;

  protected override faultsOn(
    entries: readonly string[],
    random: () => number,
  ): readonly Fault[] {
    const gapMs = SHORTEST_GAP_MS + random() * GAP_RANGE_MS;
    return [...entries, ...entries].map((target, position) => ({
      kind: 'terminate',
      atMs: Math.round(FIRST_ROLL_MS + position * gapMs),
      durationMs: 0,
      target,
    }));
  }
}

const ENDS = 8;
const ENDS_MS = 12_000;
const LONGEST_DOWN_MS = 800;

/** Unplanned ends, while half of the upstreams mark no end of their streams. */
abstract class UnplannedEnds extends HalfUnframed {
  override readonly eventPauseMs = 150;
  override readonly losesNothing = false;
  protected abstract readonly kind: FaultKind;

  protected override faultsOn(
    targets: readonly string[],
    random: () => number,
  ): readonly Fault[] {
    return Array.from({length: ENDS}, (): Fault => {
      const target = pick(targets, random) ?? '';
      return {
        kind: this.kind,
        atMs: Math.round(random() * ENDS_MS),
        durationMs: Math.round(random() * LONGEST_DOWN_MS),
        target,
      };
    }).sort((left, right) => left.atMs - right.atMs);
  }
}

/** Kills of entries. */
export class KilledEntries extends UnplannedEnds {
  override readonly name = 'kills';
  protected override readonly kind = 'kill';
}

/** Crashes of upstreams, which close their connections in an orderly way. */
export class CrashedUpstreams extends UnplannedEnds {
  override readonly name = 'crashes';
  protected override readonly kind = 'upstream_crash';

  protected override targetsIn({upstreams}: Layout): Layout['upstreams'] {
    return upstreams;
  }
}
