/** Collects the log lines that may explain one request. */
import {createReadStream, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {parseLogLine, type LogLine} from './log_line.js';

/** Log lines that are candidates for the explanation of one request. */
export interface CollectedLines {
  /** Lines about the request, oldest first. */
  readonly request: readonly LogLine[];
  /** Lines without a request id: state changes and process lifecycle. */
  readonly beliefs: readonly LogLine[];
  readonly unreadableCount: number;
}

/**
 * Reads files, and all files of directories. Collects the lines about requests
 * whose id starts with `idPrefix` and the lines without a request id.
 */
export async function collectLines(
  paths: readonly string[],
  idPrefix: string,
): Promise<CollectedLines> {
  const request: LogLine[] = [];
  const beliefs: LogLine[] = [];
  let unreadableCount = 0;
  const read = (text: string): void => {
    if (text.trim() === '') return;
    const line = parseLogLine(text);
    if (line === undefined) unreadableCount += 1;
    else if (line.requestId === undefined) beliefs.push(line);
    else if (line.requestId.startsWith(idPrefix)) request.push(line);
  };
  const files = paths.flatMap(filesOf);
  await files.reduce(
    (before, file) => before.then(() => readLines(file, read)),
    Promise.resolve(),
  );
  return {
    request: request.sort(byTime),
    beliefs: beliefs.sort(byTime),
    unreadableCount,
  };
}

function filesOf(path: string): readonly string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path, {withFileTypes: true})
    .filter(entry => entry.isFile())
    .map(entry => join(path, entry.name))
    .sort();
}

async function readLines(
  file: string,
  read: (text: string) => void,
): Promise<void> {
  const lines = createInterface({
    input: createReadStream(file, 'utf8'),
    crlfDelay: Number.POSITIVE_INFINITY,
  });
  lines.on('line', read);
  await new Promise<void>((resolve, reject) => {
    lines.once('close', resolve);
    lines.once('error', reject);
  });
}

function byTime(a: LogLine, b: LogLine): number {
  return a.timeMs - b.timeMs;
}
