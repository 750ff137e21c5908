/** Draws faults that hold up operators' orders on their way. */
import {FAULTS_MS, type Fault, type OrderDelay} from './fault_plan.js';
import {domainOf, REGIONS, type Layout} from './layout.js';
import {pick} from './traffic.js';

const DELAYS: readonly OrderDelay[] = [
  'paused_member',
  'operator_link',
  'member_link',
];
/** The operators start within this time of each other. */
const START_RANGE_MS = 2_000;
const SHORTEST_PAUSE_MS = 200;
const LONGEST_PAUSE_MS = 1_500;
const SHORTEST_LATE_MS = 100;
const LONGEST_LATE_MS = 2_000;
const RETURNS_SHARE = 0.7;
const SHORTEST_HELD_MS = 800;
const LONGEST_HELD_MS = 4_000;

/** An order to a domain that is held up at the control member. */
export function drawLateOrder(member: string, random: () => number): Fault {
  const isReturn = random() < RETURNS_SHARE;
  return {
    kind: 'late_order',
    target: domainOf(pick(REGIONS, random) ?? ''),
    atMs: Math.round(random() * START_RANGE_MS),
    durationMs: Math.round(
      between(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS, random),
    ),
    isKept: isReturn,
    late: {
      isReturn,
      member,
      delay: pick(DELAYS, random) ?? 'paused_member',
      lateMs: Math.round(between(SHORTEST_LATE_MS, LONGEST_LATE_MS, random)),
    },
  };
}

/** A time in which a control member gets its operators' bytes late. */
export function drawOperatorLink(
  random: () => number,
  {processes}: Layout,
): Fault {
  const controls = processes.filter(each => each.role === 'control');
  return {
    kind: 'operator_link',
    target: pick(controls, random)?.name ?? '',
    atMs: Math.round(random() * FAULTS_MS),
    durationMs: Math.round(between(SHORTEST_HELD_MS, LONGEST_HELD_MS, random)),
    link: 'cut_inbound',
  };
}

function between(least: number, most: number, random: () => number): number {
  return least + random() * (most - least);
}
