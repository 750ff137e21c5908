/** Runs in which workspaces compete while their keys change and entries fail. */
import type {StandInWorkspace} from '../platform/standin/configuration.js';
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {
  ChangingKeyCallers,
  GreedyCallers,
  LastingKeyCallers,
  PulsingCallers,
  type Callers,
} from './callers.js';
import {byTime, type Fault, type FaultKind} from './fault_plan.js';
import type {Layout} from './layout.js';
import {SoakProfile} from './profile.js';
import type {LinkState} from './tcp_proxy.js';
import {pick} from './traffic.js';
import {workspacesOf} from './workspaces.js';

const ENTRY_FAULTS = 8;
/** Entries that no fault hits. */
const SPARED_ENTRIES = 2;
const ENTRY_FAULTS_MS = 10_000;
const SHORTEST_MS = 300;
const LONGEST_MS = 3_500;
/** One control member at a time, which is back before the next one fails. */
const CONTROL_FAULTS_AT_MS: readonly number[] = [1_500, 9_500];
const LONGEST_CONTROL_MS = 1_500;
/** A share of a quota is leased for 10 s. */
const LONGER_THAN_LEASE_MS = 11_500;
const LARGE_FAULT_AT_MS = 4_000;
/** By share of the faults of entries and of control members. */
const KINDS: readonly FaultKind[] = ['kill', 'kill', 'pause', 'link'];
const ENTRY_KINDS: readonly FaultKind[] = [...KINDS, 'control_cut'];
const LINK_STATES: readonly LinkState[] = [
  'refusing',
  'cut_inbound',
  'cut_outbound',
  'silent',
];

/** A fault that a run has at most once. */
type LargeFault =
  | 'none'
  /** All processes start again at the same time. */
  | 'all_killed'
  /** All control members start again at the same time. */
  | 'controls_killed'
  /** Nothing reaches control members for longer than shares are leased. */
  | 'controls_cut'
  /** The same for one entry. */
  | 'entry_cut'
  /** An entry stands still for longer than its shares are leased. */
  | 'entry_frozen';
const LARGE_FAULTS: readonly LargeFault[] = [
  'none',
  'all_killed',
  'controls_killed',
  'controls_cut',
  'entry_cut',
  'entry_frozen',
];

/**
 * Keys come and go with each version of the configuration, two workspaces ask for ten
 * times their quotas, and entries are killed, paused and cut off.
 */
export class CompetingWorkspaces extends SoakProfile {
  override readonly name = 'workspaces';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;
  override readonly keepsTexts = true;
  override readonly callers: readonly Callers[] = [
    new LastingKeyCallers(),
    new ChangingKeyCallers(),
    new GreedyCallers('requests'),
    new PulsingCallers('tokens'),
  ];

  override isUnframed(): boolean {
    return false;
  }

  override workspacesOf(version: number): readonly StandInWorkspace[] {
    return workspacesOf(version);
  }

  override faultsOf(seed: number, layout: Layout): readonly Fault[] {
    const random = seededRandom(seed);
    const large = pick(LARGE_FAULTS, random) ?? 'none';
    const offset = Math.floor(random() * namesOf('entry', layout).length);
    const hit = rotated(namesOf('entry', layout), offset).slice(SPARED_ENTRIES);
    const controls = namesOf('control', layout);
    const largeOnes = largeFaults(large, controls, hit[0] ?? '');
    const smallOnes = [
      ...Array.from({length: ENTRY_FAULTS}, () =>
        drawFault(ENTRY_KINDS, pick(hit, random), LONGEST_MS, random),
      ),
      ...CONTROL_FAULTS_AT_MS.map(atMs => ({
        ...drawFault(KINDS, pick(controls, random), LONGEST_CONTROL_MS, random),
        atMs,
      })),
    ];
    // The end of a small fault would end the large one of the same process.
    return byTime([
      ...largeOnes,
      ...smallOnes.filter(({target}) =>
        largeOnes.every(each => each.target !== target),
      ),
    ]);
  }

  override unimpairedEntries(
    faults: readonly Fault[],
    layout: Layout,
  ): readonly string[] {
    const controls = namesOf('control', layout);
    const ofControls = faults.filter(each => controls.includes(each.target));
    const areAllHit = faults.some(each => each.target === 'all');
    const isOneAtATime = ofControls.length <= CONTROL_FAULTS_AT_MS.length;
    if (areAllHit || !isOneAtATime) return [];
    return namesOf('entry', layout).filter(name =>
      faults.every(each => each.target !== name),
    );
  }
}

function largeFaults(
  kind: LargeFault,
  controls: readonly string[],
  entry: string,
): readonly Fault[] {
  const fault = {
    atMs: LARGE_FAULT_AT_MS,
    durationMs: LONGER_THAN_LEASE_MS,
    target: 'all',
  };
  switch (kind) {
    case 'none':
      return [];
    case 'all_killed':
      return [{...fault, kind: 'kill_all', durationMs: SHORTEST_MS}];
    case 'controls_killed':
      return [{...fault, kind: 'kill_controls', durationMs: SHORTEST_MS}];
    case 'controls_cut':
      return controls.map(target => ({
        ...fault,
        kind: 'link',
        target,
        link: 'silent',
      }));
    case 'entry_cut':
      return [{...fault, kind: 'control_cut', target: entry}];
    case 'entry_frozen':
      return [{...fault, kind: 'pause', target: entry}];
  }
}

function drawFault(
  kinds: readonly FaultKind[],
  target = '',
  longestMs: number,
  random: () => number,
): Fault {
  const kind = pick(kinds, random) ?? 'kill';
  const link = pick(LINK_STATES, random) ?? 'silent';
  return {
    kind,
    target,
    atMs: Math.round(random() * ENTRY_FAULTS_MS),
    durationMs: Math.round(SHORTEST_MS + random() * (longestMs - SHORTEST_MS)),
    ...(kind === 'link' ? {link} : {}),
  };
}

function namesOf(
  role: 'entry' | 'control',
  {processes}: Layout,
): readonly string[] {
  return processes.filter(each => each.role === role).map(each => each.name);
}

function rotated<Value>(
  values: readonly Value[],
  offset: number,
): readonly Value[] {
  return [...values.slice(offset), ...values.slice(0, offset)];
}
