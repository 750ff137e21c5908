// Reporter for the test runner of Node: one line of JSON for each failed test.
import {relative} from 'node:path';

export default async function* failedTests(source) {
  for await (const {type, data} of source) {
    if (type !== 'test:fail') continue;
    // A parent that fails only because a test in it failed adds nothing.
    if (data.details?.error?.failureType === 'subtestsFailed') continue;
    const file = data.file === undefined ? '' : relative('.', data.file);
    yield `${JSON.stringify({file, name: data.name})}\n`;
  }
}
