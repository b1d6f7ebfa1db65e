/** Validates JSON values against the schemas and reports all errors. */
import {readFileSync} from 'node:fs';
import {Ajv} from 'ajv';
import type {ErrorObject, ValidateFunction} from 'ajv';

/** One error in a JSON file. */
export interface CheckError {
  /** File name within the set, or the path of a settings file. */
  file: string;
  /** JSON pointer to the invalid value. */
  path: string;
  /** The expected value, to be read after "expected". */
  expected: string;
  /** How to correct the error. */
  advice: string;
}

const ajv = new Ajv({allErrors: true, allowUnionTypes: true});
const validators = new Map<string, ValidateFunction>();

function getValidator(schemaName: string): ValidateFunction {
  const cached = validators.get(schemaName);
  if (cached) {
    return cached;
  }
  const file = new URL(`./schemas/${schemaName}.json`, import.meta.url);
  const validator = ajv.compile(JSON.parse(readFileSync(file, 'utf8')));
  validators.set(schemaName, validator);
  return validator;
}

const adviceByKeyword: Record<string, (error: ErrorObject) => string> = {
  required: error => `Add the field "${error.params['missingProperty']}".`,
  additionalProperties: error =>
    `Remove the field "${error.params['additionalProperty']}", or correct its name.`,
  enum: error => `Use one of ${JSON.stringify(error.params['allowedValues'])}.`,
  type: error => `Write a value of type ${String(error.params['type'])}.`,
  pattern: error => `Write a string that matches ${error.params['pattern']}.`,
};

function toCheckError(file: string, error: ErrorObject): CheckError {
  const makeAdvice = adviceByKeyword[error.keyword];
  return {
    file,
    path: error.instancePath || '/',
    expected: error.message ?? error.keyword,
    advice: makeAdvice ? makeAdvice(error) : 'Correct the value.',
  };
}

/** Validates a value against the named schema; an empty list means valid. */
export function checkAgainstSchema(
  schemaName: string,
  file: string,
  value: unknown,
): CheckError[] {
  const validator = getValidator(schemaName);
  if (validator(value)) {
    return [];
  }
  return (validator.errors ?? []).map(error => toCheckError(file, error));
}
