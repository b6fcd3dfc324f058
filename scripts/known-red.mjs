import { existsSync, readFileSync } from 'node:fs';

// Passes over failed tests that are listed in KNOWN-RED.txt by their full names, and prints them; any
// other failure, or a run without a report, ends with an exit code of 1.
const [reportFile] = process.argv.slice(2);
const knownFailures = readFileSync('KNOWN-RED.txt', 'utf8');

if (reportFile === undefined || !existsSync(reportFile)) {
  console.error('known red: no report of the tests');
  process.exit(1);
}
const { testResults } = JSON.parse(readFileSync(reportFile, 'utf8'));
const failedFiles = testResults.filter(({ status }) => status === 'failed');
const failedTests = failedFiles.flatMap(({ assertionResults }) =>
  assertionResults.filter(({ status }) => status === 'failed').map(({ fullName }) => fullName),
);
const unknown = failedTests.filter((name) => !knownFailures.includes(name));
for (const name of failedTests) {
  console.log(`${unknown.includes(name) ? 'failed' : 'known red, passed over'}: ${name}`);
}
// A file that fails without a failed test could not be run.
const areKnown = unknown.length === 0 && failedTests.length > 0;
const hasBrokenFile = failedFiles.some(({ assertionResults }) =>
  assertionResults.every(({ status }) => status !== 'failed'),
);
process.exit(areKnown && !hasBrokenFile ? 0 : 1);
