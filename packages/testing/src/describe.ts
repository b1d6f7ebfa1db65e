/** Nested `describe` blocks on top of uvu's suites. */
import {writeFileSync} from 'node:fs';
import {suite} from 'uvu';

/** Entry of the report file, which the test runner reads. */
interface TestResult {
  name: string;
  passed: boolean;
}

type TestBody = () => void | Promise<void>;

/** Environment variable with the path of the report file. */
const REPORT_VARIABLE = 'BUCKTHORNBEAM_TEST_REPORT';

const blockNames: string[] = [];
const results: TestResult[] = [];
let currentSuite: ReturnType<typeof suite> | undefined;

const reportPath = process.env[REPORT_VARIABLE];

/** Writes the results so far, so that a killed process leaves a report too. */
function writeReport(): void {
  if (reportPath !== undefined) {
    writeFileSync(reportPath, JSON.stringify(results));
  }
}

async function runRecorded(name: string, body: TestBody): Promise<void> {
  const result = {name, passed: false};
  results.push(result);
  writeReport();
  await body();
  result.passed = true;
  writeReport();
}

/** Groups tests; blocks can be nested, and the outermost one runs as a suite. */
export function describe(name: string, define: () => void): void {
  const isOutermost = blockNames.length === 0;
  blockNames.push(name);
  if (isOutermost) {
    currentSuite = suite(name);
  }
  define();
  blockNames.pop();
  if (isOutermost) {
    currentSuite!.run();
    currentSuite = undefined;
  }
}

/** Defines a test; must be called within a `describe` block. */
export function it(name: string, body: TestBody): void {
  const fullName = [...blockNames, name].join(' > ');
  currentSuite!(fullName, () => runRecorded(fullName, body));
}
