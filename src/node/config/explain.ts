/** Explains a generated configuration value by value. */
import type {Answers} from './answers.js';
import {traceConfiguration} from './generate.js';
import {explanations, type Explanation} from './traced.js';

/**
 * The origin of every value of the configuration of `answers`, or of those at
 * and below `path`, such as `policy` or `instances[0]`.
 */
export function explain(answers: Answers, path = ''): readonly Explanation[] {
  const all = explanations(traceConfiguration(answers));
  if (path === '') return all;
  return all.filter(
    ({path: candidate}) =>
      candidate === path ||
      candidate.startsWith(`${path}.`) ||
      candidate.startsWith(`${path}[`),
  );
}
