/** Checks what one scenario expects beyond what always holds. */
import {ofKind, type HistoryEvent} from './history.js';
import type {Scenario, ScenarioExpectation} from './schema.js';

/** The state of the running entries at the end. */
export interface EndState {
  readonly versions: readonly number[];
}

/** Broken expectations, in words. */
export function checkExpectations(
  scenario: Scenario,
  history: readonly HistoryEvent[],
  end: EndState,
): string[] {
  return scenario.expect.flatMap(expectation =>
    checkOne(expectation, history, end),
  );
}

function checkOne(
  expectation: ScenarioExpectation,
  history: readonly HistoryEvent[],
  end: EndState,
): string[] {
  switch (expectation.check) {
    case 'answered':
      return checkShare(expectation, history, 'ok', expectation.minShare, 1);
    case 'outcome': {
      const {outcome, minShare, maxShare} = expectation;
      return checkShare(expectation, history, outcome, minShare, maxShare);
    }
    case 'version':
      return end.versions.some(version => version < expectation.atLeast)
        ? [`entries end with versions ${end.versions.join(', ')}`]
        : [];
    case 'spread':
      return checkSpread(history, expectation.withinMs, end.versions.length);
    case 'change': {
      const {operation, status} = expectation;
      const changes = ofKind(history, 'changed').filter(
        event => event.operation === operation,
      );
      const seen = changes.map(event => event.status);
      return seen.includes(status)
        ? []
        : [`change ${operation} ended as ${seen.join(', ') || 'nothing'}`];
    }
    case 'orders': {
      const count = ofKind(history, 'order').filter(
        event => event.isAccepted,
      ).length;
      return count < expectation.min || count > expectation.max
        ? [`${count} orders were accepted`]
        : [];
    }
    case 'executions': {
      const count = ofKind(history, 'executed').filter(
        event => event.prompt?.includes(expectation.prompt) === true,
      ).length;
      return count > expectation.max
        ? [`'${expectation.prompt}' was executed ${count} times`]
        : [];
    }
  }
}

function checkShare(
  range: {
    readonly load: string;
    readonly fromMs: number;
    readonly untilMs: number;
  },
  history: readonly HistoryEvent[],
  outcome: string,
  minShare: number,
  maxShare: number,
): string[] {
  const invoked = ofKind(history, 'invoked')
    .filter(event => event.loadId === range.load)
    .filter(event => event.atMs >= range.fromMs && event.atMs < range.untilMs);
  const ids = new Set(invoked.map(event => event.callId));
  const answers = ofKind(history, 'answered').filter(event =>
    ids.has(event.callId),
  );
  const matching = answers.filter(
    event => event.outcome === outcome || event.work === outcome,
  ).length;
  const share = ids.size === 0 ? 0 : matching / ids.size;
  const unanswered = ids.size - answers.length;
  const problems =
    unanswered > 0
      ? [`${unanswered} calls of ${range.load} got no answer`]
      : [];
  return share < minShare || share > maxShare || ids.size === 0
    ? [
        ...problems,
        `${matching} of ${ids.size} calls of ${range.load} ended as ${outcome}; expected a share of ${minShare} to ${maxShare}`,
      ]
    : problems;
}

function checkSpread(
  history: readonly HistoryEvent[],
  withinMs: number,
  entryCount: number,
): string[] {
  const versions = ofKind(history, 'version');
  return ofKind(history, 'changed')
    .filter(change => change.status === 'accepted' && change.base > 0)
    .flatMap(change => {
      const version = change.version ?? 0;
      const inForce = new Set(
        versions
          .filter(event => event.version >= version)
          .filter(event => event.atMs <= change.atMs + withinMs)
          .map(event => event.process),
      );
      return inForce.size < entryCount
        ? [
            `version ${version} was in force on ${inForce.size} of ${entryCount} entries after ${withinMs} ms`,
          ]
        : [];
    });
}
