// The syntax of expressions: what users of CEL know, less message construction, null and unsigned integers.
// Layered instead of left-recursive, so that chains are loops: only brackets and the conditional nest.
grammar Grammar;

source     : expression EOF ;

expression : or ( QUESTION or COLON expression )? ;
or         : and ( '||' and )* ;
and        : relation ( '&&' relation )* ;
relation   : sum ( op=( '==' | '!=' | '<' | '<=' | '>' | '>=' | 'in' ) sum )? ;
sum        : product ( ( '+' | '-' ) product )* ;
product    : unary ( ( '*' | '/' | '%' ) unary )* ;
unary      : ( '!' | '-' )* postfix ;
postfix    : primary ( member | index )* ;
member     : DOT NAME ( OPEN arguments? CLOSE )? ;
index      : LEFT QUESTION? expression RIGHT ;
primary    : literal                                  # constant
           | NAME ( OPEN arguments? CLOSE )?          # name
           | OPEN expression CLOSE                    # brackets
           | LEFT arguments? COMMA? RIGHT             # list
           | BEGIN ( entry ( COMMA entry )* COMMA? )? END   # map
           ;
entry      : expression COLON expression ;
arguments  : expression ( COMMA expression )* ;
literal    : INTEGER | REAL | STRING | BYTES | TRUE | FALSE ;

TRUE       : 'true' ;
FALSE      : 'false' ;
QUESTION   : '?' ;
COLON      : ':' ;
COMMA      : ',' ;
DOT        : '.' ;
OPEN       : '(' ;
CLOSE      : ')' ;
LEFT       : '[' ;
RIGHT      : ']' ;
BEGIN      : '{' ;
END        : '}' ;
INTEGER    : DIGIT+ | '0x' HEX+ ;
REAL       : DIGIT+ '.' DIGIT+ EXPONENT? | DIGIT+ EXPONENT | '.' DIGIT+ EXPONENT? ;
STRING     : QUOTED | RAW ;
BYTES      : 'b' QUOTED ;
NAME       : [A-Za-z_] [A-Za-z0-9_]* ;
SPACE      : [ \t\r\n]+ -> skip ;
COMMENT    : '//' ~[\r\n]* -> skip ;
STRANGE    : . ;

fragment QUOTED   : '\'' ( '\\' ~[\r\n] | ~['\\\r\n] )* '\'' | '"' ( '\\' ~[\r\n] | ~["\\\r\n] )* '"' ;
fragment RAW      : 'r' ( '\'' ~['\r\n]* '\'' | '"' ~["\r\n]* '"' ) ;
fragment DIGIT    : [0-9] ;
fragment HEX      : [0-9a-fA-F] ;
fragment EXPONENT : [eE] [+-]? DIGIT+ ;
