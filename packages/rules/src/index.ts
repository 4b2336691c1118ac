export type { KeyLocation, Rule, RuleFile, RuleFinding, RuleMatch, ServiceClass } from './rule.js'
