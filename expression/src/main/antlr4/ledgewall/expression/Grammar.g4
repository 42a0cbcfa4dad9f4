// The expression syntax: CEL without message construction, null and unsigned integers.
// One rule for each precedence level instead of left recursion: operator chains are parsed in loops, and only brackets and the
// conditional operator recurse.
grammar Grammar;

source       : expression EOF ;

expression   : or ( QUESTION or COLON expression )? ;
or           : and ( '||' and )* ;
and          : relation ( '&&' relation )* ;
relation     : sum ( op=( '==' | '!=' | '<' | '<=' | '>' | '>=' | 'in' ) sum )? ;
sum          : product ( ( '+' | '-' ) product )* ;
product      : unary ( ( '*' | '/' | '%' ) unary )* ;
unary        : ( '!' | '-' )* postfix ;
postfix      : primary ( member | index )* ;
member       : DOT NAME ( LPAREN arguments? RPAREN )? ;
index        : LBRACKET QUESTION? expression RBRACKET ;
primary      : literal                                     # constant
             | NAME ( LPAREN arguments? RPAREN )?          # nameOrCall
             | LPAREN expression RPAREN                    # parenthesized
             | LBRACKET arguments? COMMA? RBRACKET         # list
             | LBRACE ( entry ( COMMA entry )* COMMA? )? RBRACE # map
             ;
entry        : expression COLON expression ;
arguments    : expression ( COMMA expression )* ;
literal      : INTEGER | FLOAT | STRING | BYTES | TRUE | FALSE ;

TRUE         : 'true' ;
FALSE        : 'false' ;
QUESTION     : '?' ;
COLON        : ':' ;
COMMA        : ',' ;
DOT          : '.' ;
LPAREN       : '(' ;
RPAREN       : ')' ;
LBRACKET     : '[' ;
RBRACKET     : ']' ;
LBRACE       : '{' ;
RBRACE       : '}' ;
INTEGER      : DIGIT+ | '0x' HEX+ ;
FLOAT        : DIGIT+ '.' DIGIT+ EXPONENT? | DIGIT+ EXPONENT | '.' DIGIT+ EXPONENT? ;
STRING       : QUOTED | RAW ;
BYTES        : 'b' QUOTED ;
NAME         : [A-Za-z_] [A-Za-z0-9_]* ;
WHITESPACE   : [ \t\r\n]+ -> skip ;
COMMENT      : '//' ~[\r\n]* -> skip ;
UNRECOGNIZED : . ;

fragment QUOTED   : '\'' ( '\\' ~[\r\n] | ~['\\\r\n] )* '\'' | '"' ( '\\' ~[\r\n] | ~["\\\r\n] )* '"' ;
fragment RAW      : 'r' ( '\'' ~['\r\n]* '\'' | '"' ~["\r\n]* '"' ) ;
fragment DIGIT    : [0-9] ;
fragment HEX      : [0-9a-fA-F] ;
fragment EXPONENT : [eE] [+-]? DIGIT+ ;
