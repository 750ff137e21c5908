/** What the requests that crash upstreams may have in common. */
import type {SuspectRun} from '../decisions/quarantine/suspect_record.js';
import {asId, type SuspectId} from '../types/ids.js';
import type {RunningRequest} from './crash_watch.js';
import {sharedParts} from './prompt_parts.js';
import type {WorkItem} from './types.js';

/** The suspects of a request: the shared parts of its prompt, in order. */
export function suspectsOf(item: WorkItem): readonly SuspectId[] {
  return sharedParts(item).map(partId => asId<SuspectId>(`part:${partId}`));
}

/** The suspects of requests that ran on a crashed upstream. */
export function suspectRuns(
  running: readonly RunningRequest[],
): readonly SuspectRun[] {
  return running.map(({item, startedAtMs}) => ({
    suspects: suspectsOf(item),
    sentAtMs: startedAtMs,
  }));
}
