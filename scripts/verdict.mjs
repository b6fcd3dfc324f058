import { existsSync, readFileSync } from 'node:fs';

// Prints the known failures, which the run ignores, so that they stay visible, and the test counts.
const knownFailuresFile = 'KNOWN-RED.txt';
const knownFailures = existsSync(knownFailuresFile)
  ? readFileSync(knownFailuresFile, 'utf8').trim()
  : '';
console.log(knownFailures === '' ? 'known red: none' : `known red:\n${knownFailures}`);

const { numPassedTests, numFailedTests } = JSON.parse(readFileSync('results/vitest.json', 'utf8'));
console.log(`${numPassedTests} passed, ${numFailedTests} failed`);
