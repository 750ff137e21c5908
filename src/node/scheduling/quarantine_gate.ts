/** Keeps requests from upstreams while one of their suspects is in quarantine. */
import type {CrashEvidence} from '../decisions/quarantine/crash_evidence.js';
import {suspectsOf} from './suspects.js';
import type {PlacementOutcome, WorkItem} from './types.js';

/** Applies the evidence on crashes to the requests of one scheduler. */
export class QuarantineGate {
  constructor(private readonly evidence: CrashEvidence) {}

  /** Time until the request may run; 0 if it may run now. */
  remainingMs(item: WorkItem, nowMs: number): number {
    const {evidence} = this;
    if (!evidence.hasQuarantine) return 0;
    const verdict = evidence.verdict(suspectsOf(item), nowMs);
    return verdict.kind === 'quarantined' ? verdict.forMs : 0;
  }

  /** Records a request that is sent now. */
  noteStart(item: WorkItem, nowMs: number): void {
    const {evidence} = this;
    if (evidence.hasQuarantine) evidence.noteTrial(suspectsOf(item), nowMs);
  }

  /** Records the end of a placement; `item` is undefined if it is unknown. */
  noteEnd(
    item: WorkItem | undefined,
    outcome: PlacementOutcome,
    nowMs: number,
  ): void {
    const {evidence} = this;
    if (item === undefined || evidence.suspectCount === 0) return;
    if (outcome === 'answered') evidence.noteAnswered(suspectsOf(item), nowMs);
  }
}
