/** `cyclamenfall explain-request`: from a request's id to its cause. */
import {existsSync} from 'node:fs';
import {explain} from '../explain/findings.js';
import {formatExplanation} from '../explain/format.js';
import {collectLines} from '../explain/log_files.js';
import {createTimeline} from '../explain/timeline.js';
import {requiredArgument, type Command, type ParsedOptions} from './command.js';
import {CommandFailure, EXIT_FAILURE, usageFailure} from './failures.js';

const explainRequest: Command = {
  usage: 'explain-request [id]',
  description: 'Explain how a request ended from the logs of all processes',
  options: [['--logs <path>', 'Log file or directory; may be repeated']],
  examples: ['explain-request 1cdf59770434b21a --logs /var/log/cyclamenfall'],
  run: async (session, args, options) => {
    const id = requiredArgument(args[0], 'id');
    const paths = logPaths(options);
    const lines = await collectLines(paths, id);
    if (lines.unreadableCount > 0) {
      session.note(`${lines.unreadableCount} lines could not be read`);
    }
    const timeline = createTimeline(lines);
    if (timeline === undefined) {
      throw new CommandFailure(EXIT_FAILURE, `no line is on request ${id}`);
    }
    const findings = explain(timeline);
    session.print(
      {...findings, timeline},
      formatExplanation(timeline, findings),
    );
  },
};

function logPaths(options: ParsedOptions): readonly string[] {
  const given = options['logs'];
  const paths = (Array.isArray(given) ? given : [given]) as unknown[];
  const texts = paths.filter(
    (path): path is string => typeof path === 'string' && path !== '',
  );
  if (texts.length === 0) throw usageFailure('--logs needs a path');
  const missing = texts.find(path => !existsSync(path));
  if (missing !== undefined) throw usageFailure(`${missing} does not exist`);
  return texts;
}

export const EXPLAIN_COMMANDS: readonly Command[] = [explainRequest];
