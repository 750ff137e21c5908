/** Group commit on the input side: queued events of a kind are merged. */
import type {ReplicaEvent} from './core/state.js';

/**
 * Merges consecutive proposals, which then share one append, and consecutive
 * reads.
 */
export function mergeEvents(
  events: readonly ReplicaEvent[],
): readonly ReplicaEvent[] {
  const groups = events.reduce<ReplicaEvent[][]>((runs, event) => {
    const run = runs.at(-1);
    const isMergeable = event.kind === 'propose' || event.kind === 'read';
    if (isMergeable && run?.[0]?.kind === event.kind) run.push(event);
    else runs.push([event]);
    return runs;
  }, []);
  return groups.flatMap(run => {
    if (run.length < 2) return run;
    const proposals = run.flatMap(event =>
      event.kind === 'propose' ? event.proposals : [],
    );
    const ids = run.flatMap(event => (event.kind === 'read' ? event.ids : []));
    return proposals.length > 0
      ? [{kind: 'propose', proposals}]
      : [{kind: 'read', ids}];
  });
}
