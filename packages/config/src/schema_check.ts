/** Checks of JSON values against the schemas, with every error at once. */
import {readFileSync} from 'node:fs';
import {Ajv} from 'ajv';
import type {ErrorObject, ValidateFunction} from 'ajv';

/** One error in a JSON file. */
export interface CheckError {
  /** File name within the set. */
  file: string;
  /** JSON pointer to the value. */
  path: string;
  /** What was expected there. */
  expected: string;
  /** What to do about it. */
  advice: string;
}

const ajv = new Ajv({allErrors: true, allowUnionTypes: true});
const validators = new Map<string, ValidateFunction>();

function getValidator(schemaName: string): ValidateFunction {
  const known = validators.get(schemaName);
  if (known) {
    return known;
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
  pattern: error => `Write a text that matches ${error.params['pattern']}.`,
};

function toCheckError(file: string, error: ErrorObject): CheckError {
  const advise = adviceByKeyword[error.keyword];
  return {
    file,
    path: error.instancePath || '/',
    expected: error.message ?? error.keyword,
    advice: advise ? advise(error) : 'Correct the value.',
  };
}

/** Checks a value against the named schema; an empty list means valid. */
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
