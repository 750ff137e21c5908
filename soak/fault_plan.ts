/** Draws the faults of one run from its seed. They overlap as they come. */
import {seededRandom} from '../src/node/__tests__/support/random.js';
import type {CopyMoment} from '../platform/standin/late_copies.js';
import type {Behaviour} from '../platform/standin/stand_in.js';
import {domainOf, REGIONS, type Layout} from './layout.js';
import type {LinkState} from './tcp_proxy.js';
import {pick} from './traffic.js';

/** What a fault does; `target` names a process, an upstream or a domain. */
export type FaultKind =
  /** The process is killed and starts again at the end. */
  | 'kill'
  /** All control members are killed at once. */
  | 'kill_controls'
  /** All processes are killed at once. */
  | 'kill_all'
  /** A control member is killed and starts again with an empty disk. */
  | 'wipe_disk'
  /** A control member is killed while it writes its log. */
  | 'tear_disk'
  /** The disk of a control member refuses or delays all writes until the end. */
  | 'refuse_disk'
  | 'stall_disk'
  /** The process stands still until the end. */
  | 'pause'
  /** A planned stop; the process starts again once it is gone. */
  | 'terminate'
  /** The settings change, with or without a signal. */
  | 'reload_with_signal'
  | 'reload_silently'
  /** The inner link of a process, or the link of an upstream, is impaired. */
  | 'link'
  | 'link_delay'
  /** Nothing passes between an entry and the control members. */
  | 'control_cut'
  /** All connections of a link are reset. */
  | 'link_reset'
  /** An upstream crashes and comes back under another name. */
  | 'upstream_crash'
  /** An upstream answers in another way. */
  | 'upstream_behaviour'
  | 'upstream_drain'
  /** An upstream refuses or fails each third request and sends late copies. */
  | 'upstream_copies'
  /** The platform's list answers with errors. */
  | 'list_down'
  /** A domain is evacuated and taken back, or evacuated until the end. */
  | 'evacuate'
  /** The link between operators and a control member is impaired. */
  | 'operator_link'
  /** An order is held up on its way until the opposite one is confirmed. */
  | 'late_order';

/** How an order is held up on its way. */
export type OrderDelay =
  /** The control member that gets it stands still. */
  | 'paused_member'
  /** The operator's link to that member holds it back. */
  | 'operator_link'
  /** The link on which another member passes it on holds it back. */
  | 'member_link';

/** An order that comes late. */
export interface LatePlan {
  /** Whether it takes the domain back; else it evacuates it. */
  readonly isReturn: boolean;
  /** The control member at which it is held up. */
  readonly member: string;
  readonly delay: OrderDelay;
  /** From the confirmation of the opposite order to the arrival of this one. */
  readonly lateMs: number;
}

/** The copies that an upstream sends late. */
export interface CopyPlan {
  readonly moment: CopyMoment;
  readonly areOfAnswers: boolean;
  readonly refusalStatus: 421 | 503;
}

/** One fault of a plan. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  readonly target: string;
  readonly link?: LinkState;
  readonly delayMs?: number;
  readonly behaviour?: Behaviour;
  readonly copies?: CopyPlan;
  readonly late?: LatePlan;
  /** Whether an evacuation stays in force until the end of the run. */
  readonly isKept?: boolean;
}

export const FAULTS_MS = 9_000;
const FEWEST_FAULTS = 5;
const MOST_FAULTS = 10;
const SHORTEST_MS = 300;
const LONGEST_MS = 3_500;
const LONGEST_DELAY_MS = 180;
/** A longer evacuation stays, so that the calm part of the run checks it. */
const LONGEST_EVACUATION_MS = 2_000;

const LINK_STATES: readonly LinkState[] = [
  'refusing',
  'cut_inbound',
  'cut_outbound',
  'silent',
];
const BEHAVIOURS: readonly Behaviour[] = [
  'break_stream',
  'not_executed',
  'lose_answer',
  'crossed_answer',
  'garbled_answer',
  'silent',
];
const ON_PROCESSES: readonly FaultKind[] = [
  'kill',
  'pause',
  'terminate',
  'reload_with_signal',
  'reload_silently',
];
const ON_CONTROLS: readonly FaultKind[] = ['wipe_disk', 'tear_disk'];
const ON_UPSTREAMS: readonly FaultKind[] = [
  'upstream_crash',
  'upstream_behaviour',
  'upstream_drain',
];
const ON_LINKS: readonly FaultKind[] = ['link', 'link_delay', 'link_reset'];
const ON_ALL: readonly FaultKind[] = ['kill_controls', 'kill_all', 'list_down'];
const KINDS: readonly FaultKind[] = [
  ...ON_PROCESSES,
  ...ON_PROCESSES,
  ...ON_CONTROLS,
  ...ON_UPSTREAMS,
  ...ON_LINKS,
  ...ON_LINKS,
  ...ON_ALL,
  'evacuate',
];

/** The faults of a seed, by time; the same seed gives the same plan. */
export function drawFaults(seed: number, layout: Layout): readonly Fault[] {
  const random = seededRandom(seed);
  const count =
    FEWEST_FAULTS + Math.floor(random() * (MOST_FAULTS - FEWEST_FAULTS + 1));
  const drawn = Array.from({length: count}, () => drawFault(random, layout));
  return byTime(
    drawn.filter((fault, index) =>
      [isWipe, isKept].every(kind => isFirst(kind, fault, index, drawn)),
    ),
  );
}

export function byTime(faults: readonly Fault[]): readonly Fault[] {
  return [...faults].sort((left, right) => left.atMs - right.atMs);
}

// The system bears the loss of one disk at a time, and of one region.
function isWipe({kind}: Fault): boolean {
  return kind === 'wipe_disk';
}

function isKept(fault: Fault): boolean {
  return fault.isKept === true;
}

function isFirst(
  isOfKind: (fault: Fault) => boolean,
  fault: Fault,
  index: number,
  drawn: readonly Fault[],
): boolean {
  return !isOfKind(fault) || drawn.findIndex(isOfKind) === index;
}

function drawFault(random: () => number, layout: Layout): Fault {
  const kind = pick(KINDS, random) ?? 'kill';
  const fault = {
    kind,
    atMs: Math.round(random() * FAULTS_MS),
    durationMs: Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS)),
    target: drawTarget(kind, random, layout),
  };
  switch (kind) {
    case 'link':
      return {...fault, link: pick(LINK_STATES, random) ?? 'silent'};
    case 'link_delay':
      return {...fault, delayMs: Math.round(random() * LONGEST_DELAY_MS)};
    case 'evacuate':
      return {...fault, isKept: fault.durationMs > LONGEST_EVACUATION_MS};
    case 'upstream_behaviour':
      return {...fault, behaviour: pick(BEHAVIOURS, random) ?? 'silent'};
    default:
      return fault;
  }
}

function drawTarget(
  kind: FaultKind,
  random: () => number,
  {processes, upstreams}: Layout,
): string {
  const processNames = processes.map(each => each.name);
  const controlNames = processes
    .filter(each => each.role === 'control')
    .map(each => each.name);
  const upstreamNames = upstreams.map(each => each.name);
  if (ON_PROCESSES.includes(kind)) return pick(processNames, random) ?? '';
  if (ON_CONTROLS.includes(kind)) return pick(controlNames, random) ?? '';
  if (ON_UPSTREAMS.includes(kind)) return pick(upstreamNames, random) ?? '';
  if (ON_LINKS.includes(kind)) {
    return pick([...processNames, ...upstreamNames], random) ?? '';
  }
  return kind === 'evacuate' ? domainOf(pick(REGIONS, random) ?? '') : 'all';
}
