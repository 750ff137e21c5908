/** What callers ask for, and with which headers. */
import type {RouteName} from './history.js';
import {REGIONS} from './layout.js';
import {pick} from './traffic.js';
import {
  changingKeyOf,
  KEY_MARK,
  lastingKeyOf,
  VERSION_STEP,
  WORKSPACES,
} from './workspaces.js';

/** A call before it is sent. */
export interface CallDraft {
  readonly route: RouteName;
  /** The key that it shows, if any. */
  readonly key?: string;
  /** The workspace that it says it is of; upstreams must not believe it. */
  readonly claimedWorkspace?: string;
}

/** Callers of one kind. */
export abstract class Callers {
  /** Sets their requests apart from those of others. */
  abstract readonly name: string;
  /** Default: as the run says. */
  readonly callsPerS: number | undefined = undefined;
  /** Where they send at a time since the start of the traffic; nowhere if empty. */
  regionsAt(_elapsedMs: number): readonly string[] {
    return REGIONS;
  }

  /** The next call; the operator has sent versions up to `newestVersion`. */
  abstract draw(random: () => number, newestVersion: number): CallDraft;
}

/** By share of the calls. */
const MIX: readonly RouteName[] = [
  'chat',
  'chat',
  'once',
  'lookup',
  'order',
  'order',
  'homed',
];

/** Callers without keys, on all routes. */
export class KeylessCallers extends Callers {
  override readonly name = 'soak';

  override draw(random: () => number): CallDraft {
    return {route: pick(MIX, random) ?? 'chat'};
  }
}

/** Share of the calls whose callers say of which workspace they are. */
const CLAIMED_SHARE = 0.3;
/** Workspaces that there are, and one that there is not. */
const CLAIMED: readonly string[] = [
  ...WORKSPACES.map(each => each.name),
  'nobody',
];

/** Callers of workspaces without a quota, on all routes. */
export class LastingKeyCallers extends Callers {
  override readonly name = 'soak';

  override draw(random: () => number): CallDraft {
    const route = pick(MIX, random) ?? 'chat';
    const holder = pick(['plain', 'homed'], random) ?? 'plain';
    return withClaim({route, key: lastingKeyOf(holder)}, random);
  }
}

const CHANGING_CALLS_PER_S = 20;
/** Keys are in force for six versions, so that half of the drawn ones no longer are. */
const KEY_AGE_VERSIONS = 12;
/** Share of the calls with a key that no version ever holds. */
const UNKNOWN_SHARE = 0.2;

/** Callers with new keys, with keys that were taken away and with unknown ones. */
export class ChangingKeyCallers extends Callers {
  override readonly name = 'changing';
  override readonly callsPerS = CHANGING_CALLS_PER_S;

  override draw(random: () => number, newestVersion: number): CallDraft {
    const route = pick(MIX, random) ?? 'chat';
    const age = Math.floor(random() * KEY_AGE_VERSIONS);
    const key =
      random() < UNKNOWN_SHARE
        ? `${KEY_MARK}of-nobody`
        : changingKeyOf(newestVersion - age * VERSION_STEP);
    return withClaim({route, key}, random);
  }
}

/** Calls of a greedy workspace for each one that its quota allows. */
const EXCESS = 10;
/** Requests of these run once at most, so that runs are as many as charges. */
const ONE_RUN_ROUTES: readonly RouteName[] = ['order', 'once'];

/** Callers of a workspace that ask for ten times its quota. */
export class GreedyCallers extends Callers {
  override readonly name: string;
  override readonly callsPerS: number;

  constructor(private readonly workspace: string) {
    super();
    this.name = `greedy-${workspace}`;
    const limits = WORKSPACES.find(each => each.name === workspace);
    const {ratePerS = 1, plainTokens = 1} = limits ?? {};
    this.callsPerS = (EXCESS * ratePerS) / plainTokens;
  }

  override draw(random: () => number): CallDraft {
    const route = pick(ONE_RUN_ROUTES, random) ?? 'order';
    return withClaim({route, key: lastingKeyOf(this.workspace)}, random);
  }
}

const QUIET_MS = 4_000;
const LOUD_MS = 2_000;

/**
 * Greedy callers that are quiet for some seconds, so that their burst fills up, and
 * then send in another region than before.
 */
export class PulsingCallers extends GreedyCallers {
  override regionsAt(elapsedMs: number): readonly string[] {
    const cycleMs = QUIET_MS + LOUD_MS;
    if (elapsedMs % cycleMs < QUIET_MS) return [];
    const position = Math.floor(elapsedMs / cycleMs) % REGIONS.length;
    return REGIONS.slice(position, position + 1);
  }
}

function withClaim(draft: CallDraft, random: () => number): CallDraft {
  if (random() >= CLAIMED_SHARE) return draft;
  return {...draft, claimedWorkspace: pick(CLAIMED, random) ?? ''};
}
