import { existsSync, readFileSync } from 'node:fs';

// Prints the recorded faults that the run passed over, so that they are never silent, and the counts.
const file = 'KNOWN-RED.txt';
const text = existsSync(file) ? readFileSync(file, 'utf8').trim() : '';
console.log(text === '' ? 'known red: none' : `known red:\n${text}`);

const { numPassedTests, numFailedTests } = JSON.parse(readFileSync('results/vitest.json', 'utf8'));
console.log(`${numPassedTests} passed, ${numFailedTests} failed`);
