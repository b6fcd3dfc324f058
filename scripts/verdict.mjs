import { existsSync, readFileSync } from 'node:fs';

// Prints the known failures, which the run ignores, so that they stay visible, and the test counts.
const knownFailuresFile = 'KNOWN-RED.txt';
const knownFailures = existsSync(knownFailuresFile)
  ? readFileSync(knownFailuresFile, 'utf8').trim()
  : '';
console.log(knownFailures === '' ? 'known red: none' : `known red:\n${knownFailures}`);

const results = ['results/vitest.json', 'results/vitest-apart.json'].map((file) =>
  JSON.parse(readFileSync(file, 'utf8')),
);
const total = (count) => results.reduce((sum, result) => sum + result[count], 0);
console.log(`${total('numPassedTests')} passed, ${total('numFailedTests')} failed`);
