/** The playground answers as test data. */
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parseAnswers, type Answers} from '../answers.js';

/** The text of a playground's answers. */
export function playgroundText(deployment: 'trazo' | 'zsaner'): string {
  const path = `../../../../playground/${deployment}/answers.yaml`;
  return readFileSync(fileURLToPath(new URL(path, import.meta.url)), 'utf8');
}

/** The parsed answers of a playground. */
export function playgroundAnswers(deployment: 'trazo' | 'zsaner'): Answers {
  return parseAnswers(
    playgroundText(deployment),
    'answers.yaml',
  )._unsafeUnwrap();
}
